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
 * Reads INI text into sections and entries that know their lines. A comment is a line that starts with ';' or '#'; in
 * a value both are ordinary characters, as is a backslash at the end. Sections of the same name are not merged.
 */
public final class IniReader {

    private static final String BYTE_ORDER_MARK = "\uFEFF";
    private static final String BEFORE_FIRST_HEADER = "";

    private IniReader() {}

    /** Reads the text; a text that is not INI gives one fault for each line that is not. */
    public static Either<ImmutableList<SettingsFault>, ImmutableList<IniSection>> read(String text) {
        LineReader reader = new LineReader(withPlainLineEnds(text));
        Sections sections = new Sections(reader);
        List<SettingsFault> faults = new ArrayList<>();
        IniParser parser = parser();
        while (reader.moreLines()) {
            parse(parser, reader, sections, faults);
        }
        sections.finish();
        faults.addAll(sections.faults);
        return faults.isEmpty()
                ? Either.right(ImmutableList.copyOf(sections.read))
                : Either.left(ImmutableList.copyOf(faults));
    }

    /** Parses up to the end of the text or to the first line that is not INI. */
    private static void parse(IniParser parser, LineReader reader, Sections sections, List<SettingsFault> faults) {
        try {
            parser.parse(reader, sections);
        } catch (InvalidFileFormatException _notIni) {
            faults.add(new SettingsFault("", "", reader.line, "the line is neither a [section] nor a key = value"));
            sections.skipToNextHeader();
        } catch (IOException impossible) {
            throw new UncheckedIOException(impossible);
        }
    }

    private static String withPlainLineEnds(String text) {
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

    /** Hands out at most one line at each call, so that the parser never reads ahead of the line that it handles. */
    private static final class LineReader extends Reader {
        private final String text;
        private int position;
        private int line;

        LineReader(String text) {
            this.text = text;
        }

        boolean moreLines() {
            return position < text.length();
        }

        @Override
        public int read(char[] buffer, int offset, int length) {
            if (!moreLines()) {
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

    /** Collects what the parser finds; after a line that is not INI, the parser starts again in the same section. */
    private static final class Sections implements IniHandler {
        private final LineReader reader;
        private final List<IniSection> read = new ArrayList<>();
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

        void finish() {
            if (!header.equals(BEFORE_FIRST_HEADER)) {
                read.add(new IniSection(header, headerLine, ImmutableList.copyOf(entries)));
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
            finish();
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
                faults.add(new SettingsFault("", key, reader.line, "the key stands before the first section"));
                return;
            }
            entries.add(new IniEntry(key, value == null ? "" : value, reader.line));
        }

        @Override
        public void endSection() {}
    }
}
