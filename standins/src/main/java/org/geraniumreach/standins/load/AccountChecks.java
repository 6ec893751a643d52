package org.geraniumreach.standins.load;

import java.util.ArrayList;
import java.util.List;

/** Checks the results of an account for faults. Stateless and safe for use by several threads. */
final class AccountChecks {

    private AccountChecks() {}

    static List<String> check(AccountResult result) {
        List<String> faults = new ArrayList<>();
        if (result.wrong() > 0) {
            faults.add(result.account() + " got " + result.wrong() + " wrong answers: " + result.details());
        }
        if (result.failed() > 0) {
            faults.add(result.account() + " had " + result.failed() + " requests fail: " + result.details());
        }
        if (!result.withinRate()) {
            faults.add(result.account() + " got more than its rate and burst: " + result.tokens() + " tokens");
        }
        if (result.sent() > 0 && result.served() == 0) {
            faults.add(result.account() + " was served nothing: " + result.details());
        }
        return faults;
    }
}
