// Parsing of the settings and tuning files, and the errors reported for invalid ones.
#include <gtest/gtest.h>

#include "config/settings.hpp"
#include "config/tuning.hpp"
#include "named_case.hpp"

namespace pineroad::test {
namespace {

const std::string valid_settings = R"(host_name = "c-0"
site = "a"
front = "10.0.0.1:8080"
mesh_addr = "10.0.0.1:8081"
news = 1
[external]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[params]
zones = ["a"]
[params.workers]
report_s = 3.0
lease_s = 36.0
gang_wait_s = 35.0
gang_peer_s = 4.0
cancel_s = 66.0
[params.state]
rps = 100.0
write_rps = 25.0
value_kb = 16.0
txn_ops = 20
[params.cloud]
rps = 5.0
list_lag_s = 3.0
[params.limits]
cpu_share = 0.08
memory_mb = 200.0
max_sockets = 4000
)";

std::string settings_error(std::string text, const std::string& from, const std::string& to) {
    text.replace(text.find(from), from.size(), to);
    try {
        config::parse_settings(text, "f.toml");
    } catch (const config::SettingsError& e) {
        return e.what();
    }
    return "";
}

TEST(Settings, UnknownKeysAreIgnored) {
    const auto parsed = config::parse_settings(valid_settings, "f.toml");
    EXPECT_EQ(parsed.public_endpoint.port, 8080);
    EXPECT_EQ(parsed.max_transaction_changes, 20);
}

// The table of announced limits is inserted after this line.
const std::string txn_ops_line = "txn_ops = 20\n";

std::string with_announced_limits(const std::string& announced_limits) {
    std::string text = valid_settings;
    return text.replace(text.find(txn_ops_line), txn_ops_line.size(),
                        txn_ops_line + "[params.state.next]\n" + announced_limits);
}

// The table [params.state.next] announces future limits. The smaller of each present and announced limit
// applies from the start. Announced limits are optional, and they are validated.
TEST(Settings, SmallerOfPresentAndAnnouncedLimitApplies) {
    const auto parsed =
        config::parse_settings(with_announced_limits("value_kb = 2.0\nwrite_rps = 40.0\n"), "f.toml");
    EXPECT_EQ(parsed.max_value_kb, 2.0);
    EXPECT_EQ(parsed.current_max_value_kb, 16.0);
    EXPECT_EQ(parsed.store_writes_per_s, 25.0);
    EXPECT_EQ(parsed.max_transaction_changes, 20);
    EXPECT_EQ(
        config::parse_settings(with_announced_limits("txn_ops = 4\n"), "f.toml").max_transaction_changes, 4);
    EXPECT_EQ(config::parse_settings(valid_settings, "f.toml").current_max_value_kb, 16.0);
    EXPECT_NE(
        settings_error(valid_settings, txn_ops_line, txn_ops_line + "next = 5\n").find("a table is needed"),
        std::string::npos);
}

class InvalidAnnouncedLimit : public ::testing::TestWithParam<NamedCase<std::string>> {};

TEST_P(InvalidAnnouncedLimit, IsRefused) {
    const auto text = with_announced_limits(GetParam().value);
    EXPECT_NE(settings_error(text, "host_name", "host_name").find("state.next."), std::string::npos);
}

INSTANTIATE_TEST_SUITE_P(Settings, InvalidAnnouncedLimit,
                         ::testing::Values(NamedCase<std::string>{"TooFewOperations", "txn_ops = 3\n"},
                                           NamedCase<std::string>{"ValueSizeAsString", "value_kb = \"2\"\n"},
                                           NamedCase<std::string>{"NoWrites", "write_rps = 0\n"}),
                         case_name<NamedCase<std::string>>);

TEST(Settings, AnyNumberOfPeersIsRead) {
    EXPECT_TRUE(config::parse_settings(valid_settings, "f.toml").peers.empty());
    std::string text = valid_settings;
    for (int i = 1; i < 5; ++i)
        text += "[[peers]]\nhost_name = \"c-" + std::to_string(i) +
                "\"\nsite = \"a\"\nnews = [1]\nendpoint = \"10.0.0." + std::to_string(i + 1) + ":8081\"\n";
    const auto parsed = config::parse_settings(text, "f.toml");
    ASSERT_EQ(parsed.peers.size(), 4U);
    EXPECT_EQ(parsed.peers[3].name, "c-4");
    EXPECT_NE(settings_error(text, "10.0.0.5:8081", "10.0.0.5"), "");
}

TEST(Settings, ErrorsNameKeyAndLine) {
    EXPECT_EQ(settings_error(valid_settings, "report_s = 3.0", "report_s = \"x\""),
              "f.toml:12: params.workers.report_s: a number is needed");
    EXPECT_EQ(settings_error(valid_settings, "10.0.0.1:8080", "10.0.0.1"),
              "f.toml:3: front: HOST:PORT is needed");
    EXPECT_NE(settings_error(valid_settings, "rps = 100.0", ""), "");
    EXPECT_NE(settings_error(valid_settings, "lease_s = 36.0", "lease_s = nan"), "");
    EXPECT_NE(settings_error(valid_settings, "site = \"a\"", "site = "), "");
}

std::string tuning_error(const std::string& text) {
    try {
        config::parse_tuning(text, "t.sexp");
    } catch (const config::SettingsError& e) {
        return e.what();
    }
    return "";
}

TEST(Tuning, ValuesAreReadAndKeysAndRangesChecked) {
    const auto parsed =
        config::parse_tuning("(pineroad\n  (suspension-factor 3)\n  (idle-hold 90))", "t.sexp");
    EXPECT_EQ(parsed.preemption_factor, 3);
    EXPECT_EQ(parsed.idle_timeout_s, 90);
    EXPECT_EQ(tuning_error("(pineroad\n  (sf 3))"), "t.sexp:2: sf: unknown key");
    EXPECT_EQ(tuning_error("(pineroad\n (idle-hold 9)\n (suspension-factor 0.5))"),
              "t.sexp:3: suspension-factor: must lie between 1 and 100");
}

class MalformedTuning : public ::testing::TestWithParam<NamedCase<std::string>> {};

TEST_P(MalformedTuning, IsRefused) {
    EXPECT_NE(tuning_error(GetParam().value), "") << GetParam().value;
}

INSTANTIATE_TEST_SUITE_P(
    File, MalformedTuning,
    ::testing::Values(NamedCase<std::string>{"Empty", ""}, NamedCase<std::string>{"Truncated", "("},
                      NamedCase<std::string>{"OtherProgram", "(other)"},
                      NamedCase<std::string>{"KeyWithoutValue", "(pineroad (idle-hold))"},
                      NamedCase<std::string>{"ValueNotANumber", "(pineroad (idle-hold x))"},
                      NamedCase<std::string>{"KeyTwice", "(pineroad (idle-hold 1) (idle-hold 2))"},
                      NamedCase<std::string>{"KeyOutsideAList", "(pineroad idle-hold)"}),
    case_name<NamedCase<std::string>>);

}  // namespace
}  // namespace pineroad::test
