package org.cowslippick.cli;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Reads the files that options name. */
public final class TextFiles {

    private TextFiles() {}

    /** Returns the text of the file, or a failure that names the file and why it cannot be read. */
    public static Either<CommandFailure, String> read(String file) {
        try {
            return Either.right(Files.readString(Path.of(file)));
        } catch (CharacterCodingException _notText) {
            return Either.left(CommandFailure.usage("\"" + file + "\" is not a text file in UTF-8"));
        } catch (IOException unreadable) {
            return Either.left(CommandFailure.usage("cannot read \"" + file + "\": " + unreadable.getMessage()));
        }
    }
}
