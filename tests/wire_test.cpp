// The forms on the wire and of stored records, both ways.
#include <gtest/gtest.h>

#include <boost/json.hpp>

#include "named_case.hpp"
#include "sample_jobs.hpp"
#include "wire/peer_protocol.hpp"
#include "wire/protocol.hpp"
#include "wire/records.hpp"

namespace pineroad::test {
namespace {

const std::string good =
    R"({"NameId":"j-000412","Jobclass":"train","Crew":"team","Shape":"group","Urgency":"high","Pieces":16,)"
    R"("Vcpus":8.0,"Accelerators":1.0,"MemGb":64.0,"Bundle":"img-07","SizeGb":6.2,"Breeds":["g4"],"Yard":null,)"
    R"("Together":true,"Spread":false,"Loaners":true,"GuessS":240.0,"NotchS":30.0,"StashS":4.0,"DueS":900.0,"New":[1]})";

std::string with(const std::string& key, const std::string& value) {
    auto doc = boost::json::parse(good).as_object();
    if (value.empty())
        doc.erase(key);
    else
        doc[key] = boost::json::parse(value);
    return boost::json::serialize(doc);
}
bool accepted(const std::string& body) {
    return wire::parse_submission(body).has_value();
}

TEST(Submission, IsRead) {
    ASSERT_TRUE(accepted(good));
    const auto s = wire::parse_submission(good).value();
    EXPECT_EQ(s.shape, model::Shape::gang);
    EXPECT_EQ(s.task_count, 16U);
    EXPECT_FALSE(s.zone);
}

class MalformedSubmission : public ::testing::TestWithParam<NamedCase<std::string>> {};

TEST_P(MalformedSubmission, IsRefused) {
    EXPECT_FALSE(accepted(GetParam().value)) << GetParam().value;
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
    EXPECT_TRUE(accepted(with(GetParam(), "")));
}

INSTANTIATE_TEST_SUITE_P(Submission, OptionalField, ::testing::Values("Breeds", "Yard", "DueS"),
                         [](const auto& info) { return info.param; });

class MandatoryField : public ::testing::TestWithParam<std::string> {};

TEST_P(MandatoryField, HasToBePresentAndOfItsType) {
    const auto& key = GetParam();
    EXPECT_FALSE(accepted(with(key, ""))) << key << " missing";
    EXPECT_FALSE(accepted(with(key, "null"))) << key << " null";
    EXPECT_FALSE(accepted(with(key, "{}"))) << key << " of the wrong type";
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
    EXPECT_FALSE(accepted(with(key, value))) << key << " " << value;
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
    const auto r = wire::parse_heartbeat(
        R"({"Host":"m-1","Address":"10.1.0.2:9000","Breed":"g4","Yard":"a","Loaners":true,"Stint":1,"Tick":88,"Baton":41,"WarningS":null,)"
        R"("Pieces":[{"Piece":"j-000412/3","Try":2,"Status":"running"},{"Piece":"j-000398/0","Try":1,"Status":"ended","Cause":"done"}]})");
    ASSERT_TRUE(r.has_value());
    const auto& report = *r;
    EXPECT_EQ(report.fencing_token, 41U);
    ASSERT_EQ(report.tasks.size(), 2U);
    EXPECT_EQ(report.tasks[0].task.index, 3U);
    EXPECT_EQ(report.tasks[1].cause, model::ExitCause::done);
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

TEST(Wire, AnswersHaveTheProtocolsForm) {
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

TEST(Wire, StoreAnswersAreRead) {
    const auto e = wire::parse_watch_events(
        R"({"Epoch":433,"Events":[{"Write":"c/9","Value":{"a":1},"Stamp":433},{"Drop":"c/d","Stamp":432}]})");
    ASSERT_TRUE(e);
    EXPECT_EQ(e->events.size(), 2U);
    EXPECT_FALSE(e->events[1].value);
    EXPECT_FALSE(wire::parse_watch_events(R"({"Events":[]})"));
    EXPECT_FALSE(wire::parse_rows("<html>"));
    EXPECT_EQ(wire::parse_failed_conditions(R"({"failed":["a/b"],"Epoch":431})"),
              std::vector<std::string>{"a/b"});
}

TEST(Records, ComeBackAsTheyWere) {
    auto spec = gang_job("j-1", 3);
    spec.accepted_ms = 1234567;
    spec.allowed_machine_types = std::vector<std::string>{"g4"};
    spec.zone = "b";
    spec.deadline_s = 90;
    const auto back = wire::records::parse_job("j-1", wire::records::job_json(spec));
    ASSERT_TRUE(back);
    EXPECT_EQ(wire::records::job_json(*back), wire::records::job_json(spec));
    model::Progress p;
    p.done += boost::icl::discrete_interval<std::uint32_t>::closed(0, 4);
    p.done += 9U;
    p.placements = {{5, 7, "m-1"}};
    p.next_attempt = 8;
    p.team = "team";
    const auto q = wire::records::parse_progress(wire::records::progress_json(p));
    ASSERT_TRUE(q);
    EXPECT_EQ(q->done_count(), 6U);
    EXPECT_EQ(q->placements.at(0).machine, "m-1");
    EXPECT_EQ(q->next_attempt, 8U);
}

TEST(PeerMessage, ComesBackAndGarbageDoesNot) {
    wire::PeerMessage g{"c-1", 7, "c-2", 1000, 20, 30, 77, true, {{5, "j-1"}, {6, "j-2"}}};
    const auto bytes = wire::encode_peer_message(g);
    const auto back = wire::parse_peer_message(bytes);
    ASSERT_TRUE(back);
    EXPECT_EQ(back->fencing_token, 7U);
    EXPECT_EQ(back->cancelled, g.cancelled);
    EXPECT_FALSE(wire::parse_peer_message(""));
    EXPECT_FALSE(wire::parse_peer_message("not cbor"));
    for (std::size_t n = 0; n < bytes.size(); ++n)
        EXPECT_FALSE(wire::parse_peer_message(bytes.substr(0, n))) << n;
}

}  // namespace
}  // namespace pineroad::test
