// Parsing and serialization of wire messages and stored records.
#include <gtest/gtest.h>

#include <boost/json.hpp>

#include "config/constants.hpp"
#include "named_case.hpp"
#include "sample_jobs.hpp"
#include "wire/peer_protocol.hpp"
#include "wire/protocol.hpp"
#include "wire/records.hpp"

namespace pineroad::test {
namespace {

const std::string valid_submission =
    R"({"NameId":"j-000412","Jobclass":"train","Crew":"team","Shape":"group","Urgency":"high","Pieces":16,)"
    R"("Vcpus":8.0,"Accelerators":1.0,"MemGb":64.0,"Bundle":"img-07","SizeGb":6.2,"Breeds":["g4"],"Yard":null,)"
    R"("Together":true,"Spread":false,"Loaners":true,"GuessS":240.0,"NotchS":30.0,"StashS":4.0,"DueS":900.0,"New":[1]})";

std::string with_field(const std::string& key, const std::string& value) {
    auto body = boost::json::parse(valid_submission).as_object();
    if (value.empty())
        body.erase(key);
    else
        body[key] = boost::json::parse(value);
    return boost::json::serialize(body);
}
bool is_accepted(const std::string& body) {
    return wire::parse_submission(body).has_value();
}

TEST(Submission, ReadsShapeTaskCountAndOptionalZone) {
    ASSERT_TRUE(is_accepted(valid_submission));
    const auto submission = wire::parse_submission(valid_submission).value();
    EXPECT_EQ(submission.shape, model::Shape::gang);
    EXPECT_EQ(submission.task_count, 16U);
    EXPECT_FALSE(submission.zone);
}

class MalformedSubmission : public ::testing::TestWithParam<NamedCase<std::string>> {};

TEST_P(MalformedSubmission, IsRefused) {
    EXPECT_FALSE(is_accepted(GetParam().value)) << GetParam().value;
}

INSTANTIATE_TEST_SUITE_P(Body, MalformedSubmission,
                         ::testing::Values(NamedCase<std::string>{"Empty", ""},
                                           NamedCase<std::string>{"Truncated", "{"},
                                           NamedCase<std::string>{"Array", "[]"},
                                           NamedCase<std::string>{"Null", "null"},
                                           NamedCase<std::string>{"Number", "7"},
                                           NamedCase<std::string>{"TruncatedField", "{\"NameId\":"}),
                         case_name<NamedCase<std::string>>);

class OptionalField : public ::testing::TestWithParam<std::string> {};

TEST_P(OptionalField, MayBeMissing) {
    EXPECT_TRUE(is_accepted(with_field(GetParam(), "")));
}

INSTANTIATE_TEST_SUITE_P(Submission, OptionalField, ::testing::Values("Breeds", "Yard", "DueS"),
                         [](const auto& info) { return info.param; });

class MandatoryField : public ::testing::TestWithParam<std::string> {};

TEST_P(MandatoryField, IsRequiredWithItsType) {
    const auto& key = GetParam();
    EXPECT_FALSE(is_accepted(with_field(key, ""))) << key << " missing";
    EXPECT_FALSE(is_accepted(with_field(key, "null"))) << key << " null";
    EXPECT_FALSE(is_accepted(with_field(key, "{}"))) << key << " of the wrong type";
}

INSTANTIATE_TEST_SUITE_P(Submission, MandatoryField,
                         ::testing::Values("NameId", "Jobclass", "Crew", "Shape", "Urgency", "Pieces",
                                           "Vcpus", "Accelerators", "MemGb", "Bundle", "SizeGb", "Together",
                                           "Spread", "Loaners", "GuessS", "NotchS", "StashS"),
                         [](const auto& info) { return info.param; });

struct FieldCase {
    std::string name, key, value;
    friend std::ostream& operator<<(std::ostream& out, const FieldCase& c) { return out << c.name; }
};

class InvalidField : public ::testing::TestWithParam<FieldCase> {};

TEST_P(InvalidField, IsRefused) {
    const auto& [name, key, value] = GetParam();
    EXPECT_FALSE(is_accepted(with_field(key, value))) << key << " " << value;
}

INSTANTIATE_TEST_SUITE_P(
    Submission, InvalidField,
    ::testing::Values(
        FieldCase{"NameWithoutPrefix", "NameId", "\"000412\""},
        FieldCase{"NameOfPrefixOnly", "NameId", "\"j-\""}, FieldCase{"NameWithSlash", "NameId", "\"j-a/b\""},
        FieldCase{"NameTooLong", "NameId", "\"j-" + std::string(80, '1') + "\""},
        FieldCase{"NoTasks", "Pieces", "0"}, FieldCase{"NegativeTasks", "Pieces", "-1"},
        FieldCase{"TooManyTasks", "Pieces", "100001"}, FieldCase{"FractionalTasks", "Pieces", "1.5"},
        FieldCase{"NegativeCpus", "Vcpus", "-1.0"}, FieldCase{"InfiniteCpus", "Vcpus", "1e999"},
        FieldCase{"EstimateAsString", "GuessS", "\"240\""}, FieldCase{"MachineTypeAsNumber", "Breeds", "[1]"},
        FieldCase{"ZoneAsNumber", "Yard", "7"}, FieldCase{"UnknownShape", "Shape", "\"gang\""},
        FieldCase{"UnknownPriority", "Urgency", "\"low\""}),
    case_name<FieldCase>);

TEST(Wire, HeartbeatIsRead) {
    const auto result = wire::parse_heartbeat(
        R"({"Host":"m-1","Address":"10.1.0.2:9000","Breed":"g4","Yard":"a","Loaners":true,"Stint":1,"Tick":88,"Baton":41,"WarningS":null,)"
        R"("Pieces":[{"Piece":"j-000412/3","Try":2,"Status":"running"},{"Piece":"j-000398/0","Try":1,"Status":"ended","Cause":"done"}]})");
    ASSERT_TRUE(result.has_value());
    const auto& heartbeat = *result;
    EXPECT_EQ(heartbeat.fencing_token, 41U);
    ASSERT_EQ(heartbeat.tasks.size(), 2U);
    EXPECT_EQ(heartbeat.tasks[0].task.index, 3U);
    EXPECT_EQ(heartbeat.tasks[1].cause, model::ExitCause::done);
}

class MalformedHeartbeat : public ::testing::TestWithParam<NamedCase<std::string>> {};

TEST_P(MalformedHeartbeat, IsRefused) {
    const auto& body = GetParam().value;
    EXPECT_TRUE(wire::parse_heartbeat(body).has_error()) << body;
}

INSTANTIATE_TEST_SUITE_P(
    Body, MalformedHeartbeat,
    ::testing::Values(
        NamedCase<std::string>{"Empty", ""}, NamedCase<std::string>{"Array", "[]"},
        NamedCase<std::string>{"WithoutFields", "{}"},
        NamedCase<std::string>{
            "NegativeAgentEpoch",
            R"({"Host":"m-1","Address":"a","Breed":"g","Yard":"a","Loaners":true,"Stint":-1,"Tick":1,"Baton":1,"Pieces":[]})"},
        NamedCase<std::string>{
            "TaskWithoutIndex",
            R"({"Host":"m-1","Address":"a","Breed":"g","Yard":"a","Loaners":true,"Stint":1,"Tick":1,"Baton":1,"Pieces":[{"Piece":"x","Try":1,"Status":"running"}]})"}),
    case_name<NamedCase<std::string>>);

TEST(Wire, ResponsesFollowTheProtocol) {
    using model::Command;
    EXPECT_EQ(
        wire::heartbeat_response(41, {{Command::Kind::start, {"j-1", 4}, 2, 0},
                                      {Command::Kind::stop, {"j-2", 1}, 1, 10},
                                      {Command::Kind::forget, {"j-3", 0}, 1, 0}}),
        R"({"Baton":41,"Orders":[{"Verb":"start","Piece":"j-1/4","Try":2},{"Verb":"stop","Piece":"j-2/1","Try":1,"LeewayS":1E1},{"Verb":"reap","Piece":"j-3/0","Try":1}]})");
    EXPECT_EQ(wire::job_status_response("j-1", wire::JobStatus::cancelled),
              R"({"NameId":"j-1","Status":"withdrawn"})");
    EXPECT_EQ(wire::redirect_response("c-2"), R"({"Foreman":"c-2"})");
    EXPECT_EQ(wire::watch_target("pr/", 7, 2000), "/follow?Under=pr/&Since=7&BlockMs=2000");
}

TEST(Wire, ParsesStoreResponses) {
    const auto watch_events = wire::parse_watch_events(
        R"({"Epoch":433,"Events":[{"Write":"c/9","Value":{"a":1},"Stamp":433},{"Drop":"c/d","Stamp":432}]})");
    ASSERT_TRUE(watch_events);
    EXPECT_EQ(watch_events->events.size(), 2U);
    EXPECT_FALSE(watch_events->events[1].value);
    EXPECT_FALSE(wire::parse_watch_events(R"({"Events":[]})"));
    EXPECT_FALSE(wire::parse_rows("<html>"));
    EXPECT_EQ(wire::parse_failed_conditions(R"({"failed":["a/b"],"Epoch":431})"),
              std::vector<std::string>{"a/b"});
}

// Guards against numbers of the cloud that the planner cannot add up, and against negative ones.
TEST(Wire, AmountsOfTheCloudAreMovedIntoTheirRange) {
    const auto types = wire::parse_machine_types(boost::json::parse(
        R"({"Breeds":[{"Name":"g4","Vcpus":1e308,"Accelerators":-4,"MemGb":256,"CacheGb":-1,"PullGbPerS":1e308,)"
        R"("Hourly":-12.0,"MarketPrice":1e300,"StartupS":1e308,"Yards":["a"]}]})"));
    ASSERT_TRUE(types);
    const auto& type = types->at(0);
    EXPECT_EQ(type.capacity.cpus, constants::max_amount);
    EXPECT_EQ(type.capacity.gpus, 0);
    EXPECT_EQ(type.capacity.memory_gb, 256);
    EXPECT_EQ(type.cache_gb, 0);
    EXPECT_EQ(type.fetch_gb_per_s, constants::max_amount);
    EXPECT_EQ(type.price, 0);
    EXPECT_EQ(type.spot_price, constants::max_amount);
    EXPECT_EQ(type.boot_s, constants::max_amount);
    const auto machines = wire::parse_machine_list(
        R"({"Hosts":[{"NameId":"m-1","Breed":"g4","Yard":"a","Status":"running","HeldS":1e308}]})");
    ASSERT_TRUE(machines);
    EXPECT_EQ(machines->machines.at(0).age_s, constants::max_amount);
}

TEST(Records, SurviveARoundTrip) {
    auto spec = gang_job("j-1", 3);
    spec.accepted_ms = 1234567;
    spec.allowed_machine_types = std::vector<std::string>{"g4"};
    spec.zone = "b";
    spec.deadline_s = 90;
    const auto parsed = wire::records::parse_job("j-1", wire::records::job_json(spec));
    ASSERT_TRUE(parsed);
    EXPECT_EQ(wire::records::job_json(*parsed), wire::records::job_json(spec));
    model::Progress progress;
    progress.done += boost::icl::discrete_interval<std::uint32_t>::closed(0, 4);
    progress.done += 9U;
    progress.placements = {{5, 7, "m-1"}};
    progress.next_attempt = 8;
    progress.team = "team";
    const auto parsed_progress = wire::records::parse_progress(wire::records::progress_json(progress));
    ASSERT_TRUE(parsed_progress);
    EXPECT_EQ(parsed_progress->done_count(), 6U);
    EXPECT_EQ(parsed_progress->placements.at(0).machine, "m-1");
    EXPECT_EQ(parsed_progress->next_attempt, 8U);
}

TEST(PeerMessage, SurvivesARoundTripAndGarbageIsRefused) {
    wire::PeerMessage message{"c-1", 7, "c-2", 1000, 20, 30, 77, true, {{5, "j-1"}, {6, "j-2"}}};
    const auto bytes = wire::encode_peer_message(message);
    const auto parsed = wire::parse_peer_message(bytes);
    ASSERT_TRUE(parsed);
    EXPECT_EQ(parsed->fencing_token, 7U);
    EXPECT_EQ(parsed->cancelled, message.cancelled);
    EXPECT_FALSE(wire::parse_peer_message(""));
    EXPECT_FALSE(wire::parse_peer_message("not cbor"));
    for (std::size_t n = 0; n < bytes.size(); ++n)
        EXPECT_FALSE(wire::parse_peer_message(bytes.substr(0, n))) << n;
}

}  // namespace
}  // namespace pineroad::test
