package org.geraniumreach.control;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.geraniumreach.model.KeyDigest;
import org.geraniumreach.model.Names;
import org.geraniumreach.model.ResultCode;
import org.geraniumreach.model.record.RecordKey;
import org.geraniumreach.model.record.RecordKind;

/**
 * Carries out one command.
 *
 * <p>Invariant: every change of a command has an operation id that follows from the command's own, so the same command with
 * the same id goes on where an earlier try stopped and makes nothing twice. Confined to one thread.
 */
final class Commands {

    private static final int KEY_BYTES = 32;
    private static final int OPERATION_BYTES = 8;

    private final Options options;
    private final Printer printer;
    private final SecureRandom random = new SecureRandom();
    private final List<String> recoveryHints = new ArrayList<>();

    Commands(Options options, Printer printer) {
        this.options = options;
        this.printer = printer;
    }

    /**
     * Gets what the operator can do after a failure.
     *
     * @return lines to print, not null
     */
    List<String> recoveryHints() {
        return recoveryHints;
    }

    void run() throws ControlException {
        List<String> words = options.arguments();
        if (words.isEmpty()) {
            throw ControlException.usage("a command is missing");
        }
        List<String> rest = words.subList(1, words.size());
        switch (words.get(0)) {
            case "submit" -> submit(rest);
            case "withdraw" -> withdraw(parseKey(rest));
            case "list" -> printer.printList(createClient()
                    .list(parseKind(requireSingle(rest, "list KIND")).label()));
            case "show" -> printer.printRecord(createClient().show(parseKey(rest)));
            case "history" -> printer.printHistory(
                    createClient().history(rest.isEmpty() ? Optional.empty() : Optional.of(parseKey(rest))));
            case "status" -> status(rest);
            case "validate" -> validate(rest);
            case "key" -> createKey(rest);
            default -> throw ControlException.usage("unknown command '" + words.get(0) + "'");
        }
    }

    private void submit(List<String> files) throws ControlException {
        List<RecordDocument> documents = RecordFiles.read(files);
        OperatorClient client = createClient();
        long basedOn = basedOn(client);
        String operation = operationId();
        Map<RecordKey, Long> ownRevisions = new HashMap<>();
        for (int index = 0; index < documents.size(); index++) {
            RecordDocument document = documents.get(index);
            recoveryHints.clear();
            recoveryHints.add(index + " of " + documents.size() + " records were accepted; "
                    + "submit the same files with --operation " + operation + " to find out about the rest and go on");
            ObjectNode answer = client.submit(
                    documents.size() == 1 ? operation : operation + "-" + index,
                    ownRevisions.getOrDefault(document.key(), basedOn),
                    document);
            ownRevisions.put(
                    document.key(), answer.path("change").path("revision").asLong());
            printer.printChange(answer);
        }
    }

    private void withdraw(RecordKey key) throws ControlException {
        OperatorClient client = createClient();
        String operation = operationId();
        recoveryHints.add("withdraw again with --operation " + operation + " to find out what became of it");
        printer.printChange(client.withdraw(operation, basedOn(client), key));
    }

    private long basedOn(OperatorClient client) throws ControlException {
        if (options.basedOn() == null) {
            return client.status().path("revision").asLong();
        }
        if (options.basedOn() < 0) {
            throw ControlException.usage("--based-on: a revision is not negative: " + options.basedOn());
        }
        return options.basedOn();
    }

    private String operationId() throws ControlException {
        if (options.operation() == null) {
            return "ctl-" + randomHexadecimal(OPERATION_BYTES);
        }
        if (!Names.isName(options.operation())) {
            throw ControlException.usage("--operation: not a valid name: '" + options.operation() + "'");
        }
        return options.operation();
    }

    private String randomHexadecimal(int length) {
        byte[] bytes = new byte[length];
        random.nextBytes(bytes);
        return HexFormat.of().formatHex(bytes);
    }

    private void validate(List<String> files) throws ControlException {
        List<RecordDocument> documents = RecordFiles.read(files);
        if (options.hasEntries()) {
            createClient().validate(documents);
        }
        printer.printTree(OperatorClient.newObject()
                .put("result", ResultCode.OK.name())
                .put("records", documents.size())
                .put("checkedAgainstEntry", options.hasEntries()));
    }

    private void status(List<String> rest) throws ControlException {
        if (!rest.isEmpty()) {
            throw ControlException.usage("status takes nothing more");
        }
        printer.printTree(createClient().status());
    }

    private void createKey(List<String> rest) throws ControlException {
        if (rest.size() != 2 || !rest.get(0).equals("new") || options.account() == null) {
            throw ControlException.usage("key new NAME --account ACCOUNT");
        }
        RecordKey key = parseKey(RecordKind.KEY, rest.get(1));
        if (!Names.isName(options.account())) {
            throw ControlException.usage("--account: not a valid name: '" + options.account() + "'");
        }
        String secret = randomHexadecimal(KEY_BYTES);
        ObjectNode record = OperatorClient.newObject()
                .put("schemaVersion", 1)
                .put("account", options.account())
                .put("digest", KeyDigest.ofSecret(secret).toHexadecimal());
        if (options.output() == Options.Output.JSON) {
            ObjectNode both = OperatorClient.newObject().put("secret", secret);
            both.putObject("record")
                    .put("kind", key.kind().label())
                    .put("name", key.name())
                    .setAll(record);
            printer.printTree(both);
            return;
        }
        printer.printLine("# secret, shown only now: " + secret);
        printer.printDocument(key.kind().label(), key.name(), record);
    }

    private OperatorClient createClient() throws ControlException {
        return new OperatorClient(options.entries(), readCredential());
    }

    private Optional<String> readCredential() throws ControlException {
        if (options.credentialFile() == null) {
            return Optional.empty();
        }
        try {
            return Optional.of(
                    Files.readString(Path.of(options.credentialFile())).trim());
        } catch (IOException unreadable) {
            throw ControlException.usage("--credential-file: cannot read " + options.credentialFile());
        }
    }

    private static String requireSingle(List<String> rest, String usage) throws ControlException {
        if (rest.size() != 1) {
            throw ControlException.usage(usage);
        }
        return rest.get(0);
    }

    private static RecordKey parseKey(List<String> rest) throws ControlException {
        if (rest.size() != 2) {
            throw ControlException.usage("a KIND and a NAME are wanted");
        }
        return parseKey(parseKind(rest.get(0)), rest.get(1));
    }

    private static RecordKey parseKey(RecordKind kind, String name) throws ControlException {
        if (!Names.isName(name)) {
            throw ControlException.usage("not a valid name: '" + name + "'");
        }
        return RecordKey.of(kind, name);
    }

    private static RecordKind parseKind(String label) throws ControlException {
        List<String> labels =
                List.of(RecordKind.values()).stream().map(RecordKind::label).toList();
        return RecordKind.ofLabel(label)
                .orElseThrow(() -> ControlException.usage("unknown kind '" + label + "'; known are " + labels));
    }
}
