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
 * Runs one command.
 *
 * <p>Invariant: the operation id of each change is derived from that of the command, so running the command again with the
 * same id continues where the earlier attempt stopped and applies no change twice. Not thread-safe.
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
     * Returns what the operator can do after a failure.
     *
     * @return the lines to print, not null
     */
    List<String> recoveryHints() {
        return recoveryHints;
    }

    void run() throws ControlException {
        List<String> arguments = options.arguments();
        if (arguments.isEmpty()) {
            throw ControlException.usage("a command is missing");
        }
        List<String> operands = arguments.subList(1, arguments.size());
        switch (arguments.get(0)) {
            case "submit" -> submit(operands);
            case "withdraw" -> withdraw(parseKey(operands));
            case "list" -> printer.printList(createClient()
                    .list(parseKind(requireSingle(operands, "list KIND")).label()));
            case "show" -> printer.printRecord(createClient().show(parseKey(operands)));
            case "history" -> printer.printHistory(
                    createClient().history(operands.isEmpty() ? Optional.empty() : Optional.of(parseKey(operands))));
            case "status" -> status(operands);
            case "validate" -> validate(operands);
            case "key" -> createKey(operands);
            default -> throw ControlException.usage("unknown command '" + arguments.get(0) + "'");
        }
    }

    private void submit(List<String> files) throws ControlException {
        List<RecordDocument> documents = RecordFiles.read(files);
        OperatorClient client = createClient();
        long basedOn = basedOn(client);
        String operationId = operationId();
        Map<RecordKey, Long> submittedRevisions = new HashMap<>();
        for (int index = 0; index < documents.size(); index++) {
            RecordDocument document = documents.get(index);
            recoveryHints.clear();
            recoveryHints.add(index + " of " + documents.size() + " records were accepted; "
                    + "submit the same files with --operation " + operationId
                    + " to find out about the rest and go on");
            ObjectNode response = client.submit(
                    documents.size() == 1 ? operationId : operationId + "-" + index,
                    submittedRevisions.getOrDefault(document.key(), basedOn),
                    document);
            submittedRevisions.put(
                    document.key(), response.path("change").path("revision").asLong());
            printer.printChange(response);
        }
    }

    private void withdraw(RecordKey key) throws ControlException {
        OperatorClient client = createClient();
        String operationId = operationId();
        recoveryHints.add("withdraw again with --operation " + operationId + " to find out what became of it");
        printer.printChange(client.withdraw(operationId, basedOn(client), key));
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

    private String randomHexadecimal(int byteCount) {
        byte[] bytes = new byte[byteCount];
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

    private void status(List<String> operands) throws ControlException {
        if (!operands.isEmpty()) {
            throw ControlException.usage("status takes nothing more");
        }
        printer.printTree(createClient().status());
    }

    private void createKey(List<String> operands) throws ControlException {
        if (operands.size() != 2 || !operands.get(0).equals("new") || options.account() == null) {
            throw ControlException.usage("key new NAME --account ACCOUNT");
        }
        RecordKey key = parseKey(RecordKind.KEY, operands.get(1));
        if (!Names.isName(options.account())) {
            throw ControlException.usage("--account: not a valid name: '" + options.account() + "'");
        }
        String secret = randomHexadecimal(KEY_BYTES);
        ObjectNode record = OperatorClient.newObject()
                .put("schemaVersion", 1)
                .put("account", options.account())
                .put("digest", KeyDigest.ofSecret(secret).toHexadecimal());
        if (options.output() == Options.Output.JSON) {
            ObjectNode output = OperatorClient.newObject().put("secret", secret);
            output.putObject("record")
                    .put("kind", key.kind().label())
                    .put("name", key.name())
                    .setAll(record);
            printer.printTree(output);
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

    private static String requireSingle(List<String> operands, String usage) throws ControlException {
        if (operands.size() != 1) {
            throw ControlException.usage(usage);
        }
        return operands.get(0);
    }

    private static RecordKey parseKey(List<String> operands) throws ControlException {
        if (operands.size() != 2) {
            throw ControlException.usage("a KIND and a NAME are wanted");
        }
        return parseKey(parseKind(operands.get(0)), operands.get(1));
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
