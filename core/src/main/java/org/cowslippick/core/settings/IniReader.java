package org.cowslippick.core.settings;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.Reader;
import java.io.StringReader;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import org.ini4j.Config;
import org.ini4j.InvalidFileFormatException;
import org.ini4j.spi.IniHandler;
import org.ini4j.spi.IniParser;

/** Reads INI text into sections and entries that know their lines. */
public final class IniReader {

    private IniReader() {}

    /** Reads the text; a text that is not INI gives one fault with the line. */
    public static Either<SettingsFault, ImmutableList<IniSection>> read(String text) {
        LineReader reader = new LineReader(text);
        Sections sections = new Sections(reader);
        try {
            parser().parse(reader, sections);
            return Either.right(ImmutableList.copyOf(sections.read));
        } catch (InvalidFileFormatException notIni) {
            return Either.left(new SettingsFault("", "", reader.line, "not INI: " + notIni.getMessage()));
        } catch (IOException impossible) {
            throw new UncheckedIOException(impossible);
        }
    }

    private static IniParser parser() {
        Config config = new Config();
        config.setEscape(false);
        config.setInclude(false);
        config.setEmptyOption(true);
        return IniParser.newInstance(config);
    }

    /** Hands out one line at each call, so that the parser never reads ahead of the line that it handles. */
    private static final class LineReader extends Reader {
        private final StringReader source;
        private int line;

        LineReader(String text) {
            this.source = new StringReader(text);
        }

        @Override
        public int read(char[] buffer, int offset, int length) throws IOException {
            int count = 0;
            while (count < length) {
                int character = source.read();
                if (character < 0) {
                    break;
                }
                buffer[offset + count] = (char) character;
                count++;
                if (character == '\n') {
                    break;
                }
            }
            if (count == 0) {
                return -1;
            }
            line++;
            return count;
        }

        @Override
        public void close() {
            source.close();
        }
    }

    private static final class Sections implements IniHandler {
        private final LineReader reader;
        private final List<IniSection> read = new ArrayList<>();
        private final List<IniEntry> entries = new ArrayList<>();
        private String header;
        private int headerLine;

        Sections(LineReader reader) {
            this.reader = reader;
        }

        @Override
        public void startIni() {}

        @Override
        public void endIni() {}

        @Override
        public void handleComment(String _comment) {}

        @Override
        public void startSection(String name) {
            header = name;
            headerLine = reader.line;
            entries.clear();
        }

        @Override
        public void handleOption(String key, String value) {
            entries.add(new IniEntry(key, value == null ? "" : value, reader.line));
        }

        @Override
        public void endSection() {
            read.add(new IniSection(header, headerLine, ImmutableList.copyOf(entries)));
        }
    }
}
