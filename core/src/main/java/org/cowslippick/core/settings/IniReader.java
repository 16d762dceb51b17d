package org.cowslippick.core.settings;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.Reader;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import org.ini4j.Config;
import org.ini4j.InvalidFileFormatException;
import org.ini4j.spi.IniHandler;
import org.ini4j.spi.IniParser;

/**
 * Parses INI text into sections and entries with line numbers. Lines that start with ';' or '#' are comments. Within a
 * value both are ordinary characters, as is a trailing backslash. Sections with the same name are not merged.
 */
public final class IniReader {

    private static final String BYTE_ORDER_MARK = "\uFEFF";
    private static final String BEFORE_FIRST_HEADER = "";

    private IniReader() {}

    /** Parses the text. Returns either its sections or one fault for each malformed line. */
    public static Either<ImmutableList<SettingsFault>, ImmutableList<IniSection>> read(String text) {
        LineReader reader = new LineReader(normaliseLineEndings(text));
        Sections sections = new Sections(reader);
        List<SettingsFault> faults = new ArrayList<>();
        IniParser parser = parser();
        while (reader.hasMoreLines()) {
            parse(parser, reader, sections, faults);
        }
        sections.closeSection();
        faults.addAll(sections.faults);
        return faults.isEmpty()
                ? Either.right(ImmutableList.copyOf(sections.closed))
                : Either.left(ImmutableList.copyOf(faults));
    }

    /** Parses up to the end of the text or to the next malformed line. */
    private static void parse(IniParser parser, LineReader reader, Sections sections, List<SettingsFault> faults) {
        try {
            parser.parse(reader, sections);
        } catch (InvalidFileFormatException _malformed) {
            faults.add(new SettingsFault(
                    "", "", reader.line, "the line is neither a section header nor a key = value pair"));
            sections.skipToNextHeader();
        } catch (IOException impossible) {
            throw new UncheckedIOException(impossible);
        }
    }

    private static String normaliseLineEndings(String text) {
        String unmarked = text.startsWith(BYTE_ORDER_MARK) ? text.substring(1) : text;
        return unmarked.indexOf('\r') < 0
                ? unmarked
                : unmarked.replace("\r\n", "\n").replace('\r', '\n');
    }

    private static IniParser parser() {
        Config config = new Config();
        config.setEscape(false);
        config.setEscapeNewline(false);
        config.setInclude(false);
        config.setEmptyOption(true);
        config.setGlobalSection(true);
        config.setGlobalSectionName(BEFORE_FIRST_HEADER);
        return IniParser.newInstance(config);
    }

    /** Returns at most one line per read, so that the parser never buffers past the line that it handles. */
    private static final class LineReader extends Reader {
        private final String text;
        private int position;
        private int line;

        LineReader(String text) {
            this.text = text;
        }

        boolean hasMoreLines() {
            return position < text.length();
        }

        @Override
        public int read(char[] buffer, int offset, int length) {
            if (!hasMoreLines()) {
                return -1;
            }
            if (position == 0 || text.charAt(position - 1) == '\n') {
                line++;
            }
            int lineEnd = text.indexOf('\n', position);
            int end = lineEnd < 0 ? text.length() : lineEnd + 1;
            int count = Math.min(length, end - position);
            text.getChars(position, position + count, buffer, offset);
            position += count;
            return count;
        }

        @Override
        public void close() {}
    }

    /**
     * Collects the parsed sections. After a malformed line parsing resumes on the next line, and entries are ignored up
     * to the next section header.
     */
    private static final class Sections implements IniHandler {
        private final LineReader reader;
        private final List<IniSection> closed = new ArrayList<>();
        private final List<SettingsFault> faults = new ArrayList<>();
        private final List<IniEntry> entries = new ArrayList<>();
        private boolean skipping;
        private String header = BEFORE_FIRST_HEADER;
        private int headerLine;

        Sections(LineReader reader) {
            this.reader = reader;
        }

        void skipToNextHeader() {
            skipping = true;
        }

        void closeSection() {
            if (!header.equals(BEFORE_FIRST_HEADER)) {
                closed.add(new IniSection(header, headerLine, ImmutableList.copyOf(entries)));
            }
            entries.clear();
        }

        @Override
        public void startIni() {}

        @Override
        public void endIni() {}

        @Override
        public void handleComment(String _comment) {}

        @Override
        public void startSection(String name) {
            if (name.equals(BEFORE_FIRST_HEADER)) {
                return;
            }
            closeSection();
            skipping = false;
            header = name;
            headerLine = reader.line;
        }

        @Override
        public void handleOption(String key, String value) {
            if (skipping) {
                return;
            }
            if (header.equals(BEFORE_FIRST_HEADER)) {
                faults.add(new SettingsFault("", key, reader.line, "the key precedes the first section header"));
                return;
            }
            entries.add(new IniEntry(key, value == null ? "" : value, reader.line));
        }

        @Override
        public void endSection() {}
    }
}
