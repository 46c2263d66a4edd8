// Compares wire and store formats byte for byte with tests/golden/*.golden: requests, responses, messages
// between controllers, stored records and transactions, and the results of parsing valid and invalid input.
// The golden files have labels of their own, so that renaming identifiers does not change them. After an
// intended change, PINEROAD_KEEP_GOLDEN=1 rewrites the files.
#include <gtest/gtest-spi.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>
#include <cstdlib>
#include <fstream>

#include "cluster_simulator.hpp"
#include "leader_simulator.hpp"
#include "wire/peer_protocol.hpp"

namespace pineroad::test {
namespace {

namespace json = boost::json;
namespace records = wire::records;

// --- golden files ------------------------------------------------------------------------------------------

std::string golden_path(const std::string& name) {
    return std::string(PINEROAD_GOLDEN) + "/" + name + ".golden";
}

void compare_golden(const std::string& name, const std::string& text) {
    std::ifstream in(golden_path(name), std::ios::binary);
    if (!in) {
        ADD_FAILURE() << "golden file of " << name << " is missing";
        return;
    }
    std::ostringstream expected;
    expected << in.rdbuf();
    EXPECT_EQ(expected.str(), text) << "golden file of " << name << " differs";
}

// Collects lines of text and compares them with the golden file at the end of its scope.
class Golden {
   public:
    explicit Golden(std::string name) : name_(std::move(name)) {}
    Golden(const Golden&) = delete;
    Golden& operator=(const Golden&) = delete;
    ~Golden() {
        if (std::getenv("PINEROAD_KEEP_GOLDEN"))
            std::ofstream(golden_path(name_), std::ios::binary) << text_.str();
        else
            compare_golden(name_, text_.str());
    }
    void section(const std::string& title) { text_ << "== " << title << "\n"; }
    void put(const std::string& label, const std::string& text) { text_ << label << ": " << text << "\n"; }

   private:
    std::string name_;
    std::ostringstream text_;
};

// --- printing of basic types -------------------------------------------------------------------------------

std::string hex(const std::string& bytes) {
    static constexpr char digits[] = "0123456789abcdef";
    std::string out;
    for (const unsigned char byte : bytes) {
        out += digits[byte >> 4];
        out += digits[byte & 15];
    }
    return out;
}

std::string from_hex(const std::string& text) {
    std::string out;
    for (std::size_t i = 0; i + 1 < text.size(); i += 2)
        out += static_cast<char>(std::stoi(text.substr(i, 2), nullptr, 16));
    return out;
}

std::string print(const std::string& text) {
    return "'" + text + "'";
}
std::string print(double amount) {
    return json::serialize(json::value(amount));
}
std::string print(bool flag) {
    return flag ? "yes" : "no";
}
std::string print(std::uint64_t count) {
    return std::to_string(count);
}
std::string print(const wire::Json& value) {
    return json::serialize(value);
}
std::string print(const std::vector<std::string>& list) {
    std::string out = "[";
    for (const auto& item : list) out += (out.size() > 1 ? " " : "") + print(item);
    return out + "]";
}
template <class T>
std::string print_optional(const std::optional<T>& value);  // defined after all overloads of print

// --- printing of messages and records ----------------------------------------------------------------------

// Prints the id of a job and its stored form, which holds every other field.
std::string print(const model::JobSpec& job) {
    return job.id + " " + print(records::job_json(job));
}

std::string print_parsed_submission(const std::string& body) {
    const auto parsed = wire::parse_submission(body);
    if (!parsed) return "refused: " + parsed.error().message();
    return "job " + print(*parsed);
}

std::string print(const model::ReportedTask& task) {
    static const char* states[] = {"fetching", "waiting", "running", "saving", "ended"};
    static const char* causes[] = {"none",  "done", "stopped", "mates_gone", "alone",
                                   "error", "full", "busy",    "unknown"};
    return task.task.job + "/" + std::to_string(task.task.index) + " try " + print(task.attempt) + " " +
           states[static_cast<int>(task.state)] + " cause " + causes[static_cast<int>(task.cause)] +
           " saved " + print(task.checkpoint_saved);
}

std::string print(const model::Heartbeat& heartbeat) {
    std::string out = "host " + print(heartbeat.machine) + " address " + print(heartbeat.address) +
                      " breed " + print(heartbeat.type) + " yard " + print(heartbeat.zone) + " loaner " +
                      print(heartbeat.spot) + " stint " + print(heartbeat.agent_epoch) + " tick " +
                      print(heartbeat.sequence) + " baton " + print(heartbeat.fencing_token) + " warning " +
                      print_optional(heartbeat.interruption_notice_s) + " pieces";
    for (const auto& task : heartbeat.tasks) out += " {" + print(task) + "}";
    return out;
}

std::string print_parsed_heartbeat(const std::string& body) {
    const auto parsed = wire::parse_heartbeat(body);
    if (!parsed) return "refused: " + parsed.error().message();
    return "report " + print(*parsed);
}

std::vector<model::Command> sample_commands() {
    using Kind = model::Command::Kind;
    return {{Kind::start, {"j-1", 4}, 2, 0},
            {Kind::start, {"j-1", 5}, 3, 7},
            {Kind::stop, {"j-2", 1}, 1, 10},
            {Kind::stop, {"j-2", 99999}, 18446744073709551615ULL, 0.25},
            {Kind::forget, {"j-3", 0}, 1, 0}};
}

std::string print(const std::vector<model::MachineType>& types) {
    std::string out;
    for (const auto& machine_type : types)
        out += "{" + print(machine_type.name) + " room " + print(machine_type.capacity.cpus) + " " +
               print(machine_type.capacity.gpus) + " " + print(machine_type.capacity.memory_gb) + " cache " +
               print(machine_type.cache_gb) + " fetch " + print(machine_type.fetch_gb_per_s) + " price " +
               print(machine_type.price) + " loaner " + print(machine_type.spot_price) + " boot " +
               print(machine_type.boot_s) + " yards " + print(machine_type.zones) + "}";
    return "types " + out;
}

std::string print(const wire::MachineList& list) {
    static const char* states[] = {"booting", "running", "failed"};
    std::string out;
    for (const auto& machine : list.machines)
        out += "{" + print(machine.id) + " " + print(machine.address) + " " + print(machine.type) + " " +
               print(machine.zone) + " loaner " + print(machine.spot) + " " +
               states[static_cast<int>(machine.status)] + " held " + print(machine.age_s) + "}";
    return "machines " + out + " more " + print(list.has_more);
}

std::string print(const wire::Row& row) {
    return "{" + row.key + " " + print(row.value) + " stamp " + print(row.mod_revision) + "}";
}
std::string print(const wire::Rows& rows) {
    std::string out = "epoch " + print(rows.revision) + " more " + print(rows.has_more);
    for (const auto& row : rows.rows) out += " " + print(row);
    return out;
}
std::string print(const wire::WatchEvents& events) {
    std::string out = "epoch " + print(events.revision);
    for (const auto& e : events.events)
        out += " {" + e.key + " " + (e.value ? "written " + print(*e.value) : "dropped") + " stamp " +
               print(e.mod_revision) + "}";
    return out;
}

std::string print(const wire::PeerMessage& message) {
    std::string out = "node " + print(message.node) + " token " + print(message.fencing_token) + " leader " +
                      print(message.leader) + " up " + print(message.uptime_ms) + " state " +
                      print(message.store_contact_age_ms) + " report " + print(message.heartbeat_age_ms) +
                      " epoch " + print(message.revision) + " vouches " +
                      print(message.confirms_cancellations) + " format " + print(message.record_format) +
                      " asked " + print(message.dependencies_requested) + " cancelled";
    for (const auto& [revision, job] : message.cancelled) out += " " + print(revision) + "=" + print(job);
    return out;
}

std::vector<wire::PeerMessage> sample_peer_messages() {
    const auto max_value = ~std::uint64_t{0};
    return {{},
            {"c-1", 7, "c-2", 1000, 20, 30, 77, true, {{5, "j-1"}, {6, "j-2"}}, 1, false},
            {"c-0", 1, "", 0, 0, 0, 0, false, {}, 2, true},
            {"a-long-name-of-a-controller",
             max_value,
             "c-9",
             max_value,
             max_value,
             max_value,
             max_value,
             true,
             {{max_value, "j-a"}},
             3,
             true}};
}

// A job without optional fields, and one with all of them.
model::JobSpec plain_job() {
    return array_job("j-plain", 3);
}
model::JobSpec full_job() {
    auto job = gang_job("j-full", 4);
    job.shape = model::Shape::service;
    job.priority = model::Priority::production;
    job.task_resources = {0.1, 1.5, 1e9};
    job.allowed_machine_types = std::vector<std::string>{"g4", "g2"};
    job.zone = "b";
    job.same_zone = job.spread = job.allows_spot = true;
    job.deadline_s = 90.5;
    job.accepted_ms = 1700000000123;
    job.dependencies = {"j-1", "j-2"};
    job.dependency_records = 2;
    return job;
}
model::JobSpec job_with_dependencies(int dependencies) {
    auto job = array_job("j-list", 1);
    for (int i = 0; i < dependencies; ++i) job.dependencies.push_back("j-before" + std::to_string(i));
    return job;
}

std::string print(const model::Progress& progress) {
    std::string out = "done";
    for (const auto& i : progress.done)
        out += " " + std::to_string(boost::icl::first(i)) + "-" + std::to_string(boost::icl::last(i));
    out += " placed";
    for (const auto& placement : progress.placements)
        out += " " + std::to_string(placement.index) + "#" + print(placement.attempt) + "@" +
               print(placement.machine);
    return out + " next " + print(progress.next_attempt) + " ran " + print(progress.checkpointed_run_s) +
           " need " + print(progress.task_resources.cpus) + " " + print(progress.task_resources.gpus) + " " +
           print(progress.task_resources.memory_gb) + " team " + print(progress.team) + " partial " +
           print(progress.covers_one_shard);
}

model::Progress sample_progress(bool covers_one_shard) {
    model::Progress progress;
    progress.done += boost::icl::discrete_interval<std::uint32_t>::closed(0, 4);
    progress.done += 9U;
    progress.placements = {{5, 7, "m-1"}, {8, 12, "m-22"}};
    progress.next_attempt = 13;
    progress.checkpointed_run_s = 61.25;
    progress.task_resources = {8, 1, 32};
    progress.team = "team";
    progress.covers_one_shard = covers_one_shard;
    return progress;
}

std::string print(const records::Segment& segment) {
    std::string out = "sequence " + print(segment.sequence.fencing_token) + "." +
                      print(segment.sequence.number) + " entries";
    for (const auto& [name, progress] : segment.entries)
        out += " {" + name.job + " part " + std::to_string(name.shard) + " " + print_optional(progress) + "}";
    return out;
}
std::string print(const records::EntryName& name) {
    return name.job + " part " + std::to_string(name.shard);
}
std::string print(const records::Leader& leader) {
    return leader.node + " token " + print(leader.fencing_token) + " lease " + print(leader.lease) +
           " nonce " + print(leader.nonce);
}
std::string print(const std::set<std::string>& names) {
    return print(std::vector<std::string>(names.begin(), names.end()));
}
std::string print(const model::ProvisioningRequest& request) {
    return "{" + request.name + " " + request.type + " " + request.zone + " loaner " + print(request.spot) +
           " count " + std::to_string(request.count) + "}";
}
std::string print(const std::vector<model::ProvisioningRequest>& provisioning_requests) {
    std::string out = "rentals";
    for (const auto& r : provisioning_requests) out += " " + print(r);
    return out;
}
std::string print(const model::JobOutcome& outcome) {
    return (outcome.status == model::FinalStatus::done ? "done at " : "cancelled at ") +
           std::to_string(outcome.finished_at_ms);
}
std::string print(const model::CategoryAverages& averages) {
    std::string out = "means";
    for (const auto& [name, c] : averages) out += " " + name + "=" + print(c.mean) + "*" + print(c.count);
    return out;
}

std::vector<model::ProvisioningRequest> sample_provisioning_requests() {
    return {{"r-1-1", "g4", "a", false, 9}, {"r-1-2", "g2", "b", true, 1}};
}

std::string print(const net::Response& response) {
    return std::to_string(response.status) + " " + response.body +
           (response.retry_after_s > 0 ? " Retry-After" : "") + (response.close ? " closes" : "");
}

template <class T>
std::string print_optional(const std::optional<T>& value) {
    return value ? print(*value) : "nothing";
}

// Prints the stored rows, with the leader's random nonce masked.
void put_store_rows(Golden& golden, const std::map<std::string, StoreSimulator::Row>& rows) {
    for (const auto& [key, row] : rows) {
        auto value = row.value;
        if (auto* object = value.if_object(); object && object->contains("nonce"))
            (*object)["nonce"] = "random";
        golden.put(key, print(value));
    }
}

// Prints the result of `read` for each input, or "not JSON".
template <class Read>
void put_parsed_values(Golden& golden, const std::string& label, const std::vector<std::string>& inputs,
                       Read read) {
    for (const auto& text : inputs) {
        const auto value = wire::parse_json(text);
        golden.put(label + " " + text, value ? read(*value) : "not JSON");
    }
}
template <class Read>
void put_parsed_bodies(Golden& golden, const std::string& label, const std::vector<std::string>& inputs,
                       Read read) {
    for (const auto& text : inputs) golden.put(label + " " + text, read(text));
}

// --- request bodies ----------------------------------------------------------------------------------------

constexpr const char* full_submission =
    R"({"NameId":"j-000412","Jobclass":"wide","Crew":"team","Shape":"group","Urgency":"high","Pieces":16,)"
    R"("Vcpus":28.0,"Accelerators":4,"MemGb":200.5,"Bundle":"img-7","SizeGb":12,"Breeds":["g4","g2"],)"
    R"("Yard":"b","Together":true,"Spread":false,"Loaners":true,"GuessS":240.0,"NotchS":30.0,"StashS":4.0,)"
    R"("DueS":900.0,"WaitsOn":["j-1","j-2","j-1"],"New":[1]})";
constexpr const char* full_heartbeat =
    R"({"Host":"m-1","Address":"10.1.0.2:9000","Breed":"g4","Yard":"a","Loaners":true,"Stint":1,"Tick":88,)"
    R"("Baton":41,"WarningS":12.5,"Pieces":[{"Piece":"j-000412/3","Try":2,"Status":"running"}],"New":{}})";

// Returns the body with one field replaced, or removed if `value` is empty.
std::string with_field(const char* body, const std::string& key, const std::string& value) {
    auto object = json::parse(body).as_object();
    if (value.empty())
        object.erase(key);
    else
        object[key] = json::parse(value);
    return json::serialize(object);
}

const std::vector<std::string> malformed_bodies{"", "{", "[]", "null", "7", "\"text\"", "{}", "<html>"};
const std::vector<std::string> test_values{"",   "null", "{}",    "[]",   "[1]",      "[\"\"]", "7",     "0",
                                           "-1", "1.5",  "1e999", "true", "\"word\"", "\"\"",   "100001"};

// Returns malformed bodies, the body itself, the body with each field set to each test value, and the body
// with each of the known values.
std::vector<std::string> body_variants(const char* body, const std::vector<std::string>& keys,
                                       const std::vector<std::pair<std::string, std::string>>& known_values) {
    std::vector<std::string> out = malformed_bodies;
    out.emplace_back(body);
    for (const auto& key : keys)
        for (const auto& value : test_values)
            if (value != "1e999") out.push_back(with_field(body, key, value));
    for (const auto& [key, value] : known_values) out.push_back(with_field(body, key, value));
    return out;
}

// --- formats -----------------------------------------------------------------------------------------------

TEST(Golden, MissingGoldenFileFails) {
    EXPECT_NONFATAL_FAILURE(compare_golden("no_such_subject", "text"), "is missing");
}

TEST(Golden, UserResponses) {
    Golden golden("users");
    using State = wire::JobStatus;
    const std::pair<const char*, State> states[] = {{"queued", State::queued},
                                                    {"running", State::running},
                                                    {"done", State::done},
                                                    {"cancelled", State::cancelled}};
    for (const auto& [name, state] : states) {
        golden.put(name, wire::job_status_response("j-1", state));
        golden.put(std::string(name) + " with counts",
                   wire::job_status_response("j-1", state, wire::DisplayedTaskCounts{3, 100000}));
    }
    for (const auto* reason : {"", "no such job", "a \"quoted\" reason \n\x01 \xc3\xa9"})
        golden.put("error", wire::error_response(reason));
    for (const auto* id :
         {"j-1", "j-", "j-aZ09", "j_1", "", "j-a/b", "j-a b", "000412",
          "j-34567890123456789012345678901234567890", "j-345678901234567890123456789012345678901"})
        golden.put(std::string("valid id ") + id, print(wire::valid_job_id(id)));
}

TEST(Golden, Submissions) {
    Golden golden("submissions");
    put_parsed_bodies(
        golden, "submission",
        body_variants(full_submission,
                      {"NameId",       "Jobclass", "Crew",   "Shape",  "Urgency", "Pieces", "Vcpus",
                       "Accelerators", "MemGb",    "Bundle", "SizeGb", "Breeds",  "Yard",   "Together",
                       "Spread",       "Loaners",  "GuessS", "NotchS", "StashS",  "DueS",   "WaitsOn"},
                      {{"NameId", "\"000412\""},
                       {"NameId", "\"j-\""},
                       {"NameId", "\"j-a/b\""},
                       {"NameId", "\"j-" + std::string(80, '1') + "\""},
                       {"Shape", "\"batch\""},
                       {"Shape", "\"group\""},
                       {"Shape", "\"standing\""},
                       {"Shape", "\"gang\""},
                       {"Urgency", "\"production\""},
                       {"Urgency", "\"high\""},
                       {"Urgency", "\"standard\""},
                       {"Urgency", "\"best_effort\""},
                       {"Urgency", "\"low\""},
                       {"Pieces", "1"},
                       {"Pieces", "100000"},
                       {"Pieces", "18446744073709551615"},
                       {"Vcpus", "1e-3"},
                       {"WaitsOn", "[\"j-1\",\"x\"]"},
                       {"WaitsOn", "[\"j-3\",\"j-1\",\"j-2\"]"},
                       {"Breeds", "[\"g4\",7]"},
                       {"Breeds", "[\"" + std::string(2000, 'x') + "\"]"},
                       {"Crew", "\"" + std::string(2000, 'x') + "\""}}),
        print_parsed_submission);
    golden.put("infinite amount", print_parsed_submission(R"({"NameId":"j-1","Vcpus":1e999})"));
}

TEST(Golden, WorkerMessages) {
    Golden golden("workers");
    std::vector<std::pair<std::string, std::string>> pieces;
    for (const auto* status : {"fetching", "waiting", "running", "saving", "ended", "exited"})
        pieces.emplace_back("Pieces",
                            std::string(R"([{"Piece":"j-1/0","Try":1,"Status":")") + status + "\"}]");
    for (const auto* cause :
         {"done", "stopped", "mates_gone", "alone", "error", "full", "busy", "unknown", "odd"})
        pieces.emplace_back(
            "Pieces", std::string(R"([{"Piece":"j-1/0","Try":1,"Status":"ended","Saved":true,"Cause":")") +
                          cause + "\"}]");
    for (const auto* piece :
         {R"({"Piece":"j-1/0","Try":1,"Status":"running","Cause":"done","Saved":true})",
          R"({"Piece":"j-1/99999","Try":18446744073709551615,"Status":"waiting"})",
          R"({"Piece":"j-1/100000","Try":1,"Status":"waiting"})",
          R"({"Piece":"j-1/1000000","Try":1,"Status":"waiting"})",
          R"({"Piece":"j-1/","Try":1,"Status":"waiting"})", R"({"Piece":"j-1","Try":1,"Status":"waiting"})",
          R"({"Piece":"x/1","Try":1,"Status":"waiting"})", R"({"Piece":"j-1/-1","Try":1,"Status":"waiting"})",
          R"({"Piece":"j-1/0","Try":-1,"Status":"waiting"})", R"({"Piece":"j-1/0","Status":"waiting"})",
          R"({"Piece":"j-1/0","Try":1})", R"({"Try":1,"Status":"waiting"})", "7"})
        pieces.emplace_back("Pieces", std::string("[") + piece + "]");
    put_parsed_bodies(golden, "report",
                      body_variants(full_heartbeat,
                                    {"Host", "Address", "Breed", "Yard", "Loaners", "Stint", "Tick", "Baton",
                                     "WarningS", "Pieces"},
                                    pieces),
                      print_parsed_heartbeat);
    golden.put("orders", wire::heartbeat_response(41, sample_commands()));
    golden.put("no orders", wire::heartbeat_response(0, {}));
    golden.put("direct", wire::direct_command_request(41, 7, sample_commands()));
    golden.put("direct, none", wire::direct_command_request(0, 0, {}));
    golden.put("redirect", wire::redirect_response("c-2"));
    golden.put("redirect to nobody", wire::redirect_response(""));
}

TEST(Golden, CloudMessages) {
    Golden golden("cloud");
    golden.put("types", print(wire::machine_types_json(machine_types())));
    golden.put("no types", print(wire::machine_types_json({})));
    const std::string type = R"({"Name":"g4","Vcpus":32,"Accelerators":4,"MemGb":256.5,"Yards":["a","b"]})";
    std::vector<std::string> types{print(wire::machine_types_json(machine_types())),
                                   "[]",
                                   "{}",
                                   R"({"Breeds":7})",
                                   R"({"Breeds":[]})",
                                   R"({"Breeds":[7]})"};
    for (const auto* key : {"Name", "Vcpus", "Accelerators", "MemGb", "Yards"})
        for (const auto* value : {"", "null", "{}", "[7]", "7.5", "\"a\""})
            types.push_back("{\"Breeds\":[" + with_field(type.c_str(), key, value) + "]}");
    for (const auto* key : {"CacheGb", "PullGbPerS", "Hourly", "MarketPrice", "StartupS"})
        for (const auto* value : {"7.5", "\"a\""})
            types.push_back("{\"Breeds\":[" + with_field(type.c_str(), key, value) + "]}");
    put_parsed_values(golden, "read types", types,
                      [](const wire::Json& v) { return print_optional(wire::parse_machine_types(v)); });
    for (const auto& request : sample_provisioning_requests())
        golden.put("rental", wire::provisioning_request(request));
    put_parsed_bodies(
        golden, "rented",
        {R"({"Hosts":["m-1","m-2"],"New":1})", R"({"Hosts":[]})", R"({"Hosts":[7]})", R"({"Hosts":{}})", "{}",
         "[]", "", "null"},
        [](const std::string& body) { return print_optional(wire::parse_provisioned_machines(body)); });
    golden.put("release", wire::release_request({"m-1", "m-2"}));
    golden.put("release of none", wire::release_request({}));
    for (const auto* after : {"", "m-1", "m 1/ü&?=%"})
        golden.put("list", wire::machine_list_target(after, 500));
    const std::string host =
        R"({"NameId":"m-1","Address":"10.0.0.1:9000","Breed":"g4","Yard":"a","Loaners":true,)"
        R"("Status":"running","HeldS":12.5})";
    std::vector<std::string> lists{"",
                                   "[]",
                                   "{}",
                                   R"({"Hosts":7})",
                                   R"({"Hosts":[],"Truncated":true})",
                                   R"({"Hosts":[7]})",
                                   "{\"Hosts\":[" + host + "," + host + "]}"};
    for (const auto* key : {"NameId", "Address", "Breed", "Yard", "Loaners", "Status", "HeldS"})
        for (const auto* value : {"", "null", "7", "\"booting\"", "\"failed\"", "\"gone\""})
            lists.push_back("{\"Hosts\":[" + with_field(host.c_str(), key, value) + "]}");
    put_parsed_bodies(golden, "list", lists,
                      [](const std::string& body) { return print_optional(wire::parse_machine_list(body)); });
}

TEST(Golden, StoreRequests) {
    Golden golden("store_requests");
    for (const auto path :
         {wire::submissions_path, wire::heartbeat_path, wire::health_path, wire::direct_command_path,
          wire::machine_types_path, wire::machines_path, wire::release_path, wire::commit_path,
          wire::leases_path, wire::peer_message_path})
        golden.put("path", std::string(path));
    golden.put("key", wire::row_target("pr/final/j-1"));
    golden.put("list", wire::row_list_target("pr/live/", "", 500));
    golden.put("list on", wire::row_list_target("pr/live/", "pr/live/a/j 1#2?&=ü", 1));
    golden.put("follow", wire::watch_target("pr/", 7, 2000));
    golden.put("follow", wire::watch_target("p r", 18446744073709551615ULL, 0));
    golden.put("lease", wire::lease_request(6000));
    golden.put("lease target", wire::lease_target(77));
    golden.put("touch", wire::renew_lease_target(77));
    wire::Transaction transaction;
    golden.put("empty transaction", wire::commit_request(transaction));
    transaction.conditions = {{"pr/a", 0}, {"pr/b", 18446744073709551615ULL}};
    transaction.changes = {{"pr/a", json::object{{"z", 1}, {"a", 2.5}}, std::nullopt},
                           {"pr/b", std::nullopt, std::nullopt},
                           {"pr/c", json::array{"x", nullptr, true}, 77},
                           {"pr/d", json::value(nullptr), std::nullopt}};
    golden.put("transaction", wire::commit_request(transaction));
}

TEST(Golden, StoreResponses) {
    Golden golden("store_answers");
    put_parsed_bodies(golden, "epoch",
                      {R"({"Epoch":433})", R"({"Epoch":-1})", R"({"Epoch":1.5})", "{}", "[]", ""},
                      [](const std::string& body) { return print_optional(wire::parse_revision(body)); });
    put_parsed_bodies(
        golden, "failed",
        {R"({"failed":["a/b","c"],"Epoch":431})", R"({"failed":[7,"c"]})", R"({"failed":7})", "{}", ""},
        [](const std::string& body) { return print(wire::parse_failed_conditions(body)); });
    put_parsed_bodies(golden, "permit", {R"({"Permit":7})", R"({"Permit":"7"})", "{}", ""},
                      [](const std::string& body) { return print_optional(wire::parse_lease(body)); });
    const std::vector<std::string> rows{R"({"Key":"a/b","Value":{"z":1,"a":[2.5]},"Stamp":7})",
                                        R"({"Key":"a/b","Value":null,"Stamp":7})",
                                        R"({"Key":"a/b","Stamp":7})",
                                        R"({"Value":1,"Stamp":7})",
                                        R"({"Key":"a/b","Value":1})",
                                        R"({"Key":7,"Value":1,"Stamp":7})",
                                        R"({"Key":"a/b","Value":1,"Stamp":-7})",
                                        "7"};
    put_parsed_bodies(golden, "row", rows,
                      [](const std::string& body) { return print_optional(wire::parse_row(body)); });
    std::vector<std::string> lists{"",
                                   "<html>",
                                   "[]",
                                   "{}",
                                   R"({"Rows":[],"Epoch":7})",
                                   R"({"Rows":[],"Truncated":true,"Epoch":7})",
                                   R"({"Rows":[]})",
                                   R"({"Rows":7,"Epoch":7})",
                                   R"({"Epoch":7})"};
    for (const auto& row : rows) lists.push_back("{\"Rows\":[" + rows[0] + "," + row + "],\"Epoch\":9}");
    put_parsed_bodies(golden, "rows", lists,
                      [](const std::string& body) { return print_optional(wire::parse_rows(body)); });
    put_parsed_bodies(
        golden, "events",
        {R"({"Epoch":433,"Events":[{"Write":"c/9","Value":{"a":1},"Stamp":433},{"Drop":"c/d","Stamp":432}]})",
         R"({"Epoch":433,"Events":[{"Write":"c/9","Value":null,"Stamp":433}]})",
         R"({"Epoch":433,"Events":[{"Write":"c/9","Stamp":433}]})",
         R"({"Epoch":433,"Events":[{"Write":"c/9","Value":1}]})", R"({"Epoch":433,"Events":[{"Stamp":1}]})",
         R"({"Epoch":433,"Events":[7]})", R"({"Epoch":433,"Events":7})", R"({"Epoch":433})",
         R"({"Events":[]})", "[]", ""},
        [](const std::string& body) { return print_optional(wire::parse_watch_events(body)); });
}

TEST(Golden, PeerMessages) {
    Golden golden("peers");
    for (const auto& message : sample_peer_messages()) {
        const auto bytes = wire::encode_peer_message(message);
        golden.put("message", print(message));
        golden.put("bytes", hex(bytes));
        golden.put("read back", print_optional(wire::parse_peer_message(bytes)));
        golden.put("cut short", print_optional(wire::parse_peer_message(bytes.substr(0, bytes.size() - 1))));
    }
    golden.put("empty", print_optional(wire::parse_peer_message("")));
    golden.put("empty map", print_optional(wire::parse_peer_message(from_hex("a0"))));
    golden.put("garbage", print_optional(wire::parse_peer_message("not cbor")));
    std::ifstream in(std::string(PINEROAD_FIXTURES) + "/version-0.4.json");
    std::ostringstream text;
    text << in.rdbuf();
    const auto fixture = json::parse(text.str()).as_object();
    const std::string earlier_message(fixture.at("gossip").as_string());
    golden.put("version 0.4", print_optional(wire::parse_peer_message(from_hex(earlier_message))));
}

TEST(Golden, Keys) {
    Golden golden("keys");
    const std::pair<const char*, std::string_view> constants[] = {
        {"all", records::all_prefix},
        {"live", records::live_prefix},
        {"leader", records::leader_key},
        {"term", records::term_key},
        {"types", records::machine_types_key},
        {"means", records::category_averages_key},
        {"format", records::format_key},
        {"dependencies", records::dependencies_prefix},
        {"jobs", records::job_prefix},
        {"progress", records::progress_prefix},
        {"segments", records::segment_prefix},
        {"rentals", records::provisioning_requests_key},
        {"rental", records::provisioning_request_prefix},
        {"final", records::outcome_prefix}};
    for (const auto& [label, text] : constants) golden.put(label, std::string(text));
    golden.put("job", records::job_key("j-1"));
    golden.put("progress of a job", records::progress_key("j-1"));
    golden.put("segment", records::segment_key("0007"));
    golden.put("rental by name", records::provisioning_request_key("r-1-2"));
    golden.put("final of a job", records::outcome_key("j-1"));
    golden.put("dependencies of a job", records::dependencies_key("j-1", 12));
    golden.put("under", print_optional(records::strip_prefix("pr/live/a/j-1", records::job_prefix)));
    golden.put("not under", print_optional(records::strip_prefix("pr/live/s/0", records::job_prefix)));
    golden.put("format", print(std::uint64_t{records::record_format}));
    golden.put("entry", records::entry_name({"j-1", 0}));
    golden.put("entry of a part", records::entry_name({"j-1", 12}));
    put_parsed_bodies(
        golden, "entry name", {"j-1", "j-1#1", "j-1#12", "j-1#0", "j-1#", "j-1#x", "j-1#1x", "j-1#-1", ""},
        [](const std::string& name) { return print_optional(records::parse_entry_name(name)); });
}

TEST(Golden, JobRecords) {
    Golden golden("job_records");
    for (const auto& job : {plain_job(), full_job()}) {
        const auto stored = records::job_json(job);
        golden.put(job.id, print(stored));
        golden.put("read back", print_optional(records::parse_job(job.id, stored)));
    }
    const auto put_job_records = [&](const model::JobSpec& job, std::size_t bytes,
                                     std::size_t max_dependency_records) {
        const auto shards = records::job_records(job, bytes, max_dependency_records);
        golden.section(job.id + " in records of " + std::to_string(bytes) + ", " +
                       std::to_string(max_dependency_records) + " further");
        if (!shards) return golden.put("records", "nothing");
        golden.put("job", print(shards->job));
        for (const auto& record : shards->dependencies) {
            golden.put("further", print(record));
            golden.put("read back", print_optional(records::parse_dependencies(record)));
        }
    };
    put_job_records(plain_job(), 8000, 4);
    put_job_records(plain_job(), 100, 4);
    put_job_records(job_with_dependencies(5), 8000, 4);
    put_job_records(job_with_dependencies(100), 500, 4);
    put_job_records(job_with_dependencies(100), 500, 2);
    put_job_records(job_with_dependencies(100), 500, 0);
    golden.section("read");
    const auto full = print(records::job_json(full_job()));
    std::vector<std::string> inputs{"7", "null", "[]", "{}", full};
    for (const auto* key :
         {"class", "team", "image", "shape", "prio", "tasks", "need", "gb",  "one_zone", "spread",
          "spot",  "est",  "ckpt",  "save",  "at",   "types", "zone", "due", "after",    "more"})
        for (const auto* value : {"", "null", "7", "-1", "\"j\"", "[1,2,\"x\"]", "[1,2,3]", "true"})
            inputs.push_back(with_field(full.c_str(), key, value));
    put_parsed_values(golden, "job", inputs,
                      [](const wire::Json& v) { return print_optional(records::parse_job("j-read", v)); });
    put_parsed_values(golden, "dependencies",
                      {R"({"after":"1 2 a"})", R"({"after":" 1  2 "})", R"({"after":""})", "{}", "7"},
                      [](const wire::Json& v) { return print_optional(records::parse_dependencies(v)); });
}

TEST(Golden, ProgressRecords) {
    Golden golden("progress_records");
    model::Progress none;
    golden.put("none", print(records::progress_json(none)));
    for (const bool covers_one_shard : {false, true})
        for (const std::uint32_t shard : {0U, 3U}) {
            const auto stored = records::progress_json(sample_progress(covers_one_shard), shard);
            golden.put(
                std::string(covers_one_shard ? "partial" : "whole") + ", part " + std::to_string(shard),
                print(stored));
            golden.put("read back", print_optional(records::parse_progress(stored)));
        }
    const auto full = print(records::progress_json(sample_progress(false)));
    std::vector<std::string> inputs{"7", "null", "[]", "{}"};
    for (const auto* key : {"d", "r", "n", "c", "s", "w", "t"})
        for (const auto* value : {"", "7", "[7]", "[[1]]", "[[1,\"x\"]]", "[[1,2,3]]", "[[1,2,\"m\"]]",
                                  "[1,2,3]", "true", "\"x\""})
            inputs.push_back(with_field(full.c_str(), key, value));
    put_parsed_values(golden, "progress", inputs,
                      [](const wire::Json& v) { return print_optional(records::parse_progress(v)); });
    json::object entries;
    entries["j-1"] = records::progress_json(sample_progress(false));
    entries["j-2"] = records::progress_json(sample_progress(true));
    entries["j-2#3"] = records::progress_json(sample_progress(true), 3);
    entries["j-3"] = nullptr;
    entries["j-3#1"] = nullptr;
    const auto segment = records::segment_json({7, 12}, entries);
    golden.put("segment", print(segment));
    golden.put("read back", print_optional(records::parse_segment(segment)));
    golden.put("empty segment", print(records::segment_json({1, 1}, {})));
    put_parsed_values(golden, "segment",
                      {"7", "{}", R"({"n":[1,2]})", R"({"n":[1,2],"jobs":{}})", R"({"n":[1],"jobs":{}})",
                       R"({"n":[1,"x"],"jobs":{}})", R"({"n":7,"jobs":{}})", R"({"n":[1,2],"jobs":[]})",
                       R"({"n":[1,2],"jobs":{"j-1":{}}})", R"({"n":[1,2],"jobs":{"j-1#0":null}})",
                       R"({"n":[1,2],"jobs":{"j-1#2":null}})"},
                      [](const wire::Json& v) { return print_optional(records::parse_segment(v)); });
}

TEST(Golden, OtherRecords) {
    Golden golden("other_records");
    golden.put("leader", print(records::leader_json({"c-1", 7, 8, 18446744073709551615ULL})));
    put_parsed_values(
        golden, "leader",
        {R"({"node":"c-1","token":7,"lease":8,"nonce":9})", R"({"node":"c-1","token":7,"lease":8})",
         R"({"node":"c-1","token":7,"nonce":9})", R"({"node":"c-1","lease":8,"nonce":9})",
         R"({"token":7,"lease":8,"nonce":9})", R"({"node":7,"token":7,"lease":8,"nonce":9})", "{}", "7"},
        [](const wire::Json& v) { return print_optional(records::parse_leader(v)); });
    golden.put("term", print(records::term_json(41)));
    put_parsed_values(golden, "term",
                      {print(records::term_json(41)), "41", "{}", "null", "\"41\"", R"({"token":-1})"},
                      [](const wire::Json& v) { return print_optional(records::parse_term(v)); });
    golden.put("means", print(records::category_averages_json({{"w0l1", {1.25, 3}}, {"w2l0", {10, 1}}})));
    put_parsed_values(golden, "means",
                      {R"({"w0l1":[1.25,3],"w2l0":[10,1]})",
                       R"({"a":[1],"b":[1,-1],"c":7,"d":["x",1],"e":[1,2]})", "{}", "7"},
                      [](const wire::Json& v) { return print(records::parse_category_averages(v)); });
    golden.put("format", print(records::format_json({"c-0", "c-1"})));
    put_parsed_values(
        golden, "format",
        {R"({"format":2,"controllers":["c-0","c-1"]})", R"({"format":3,"controllers":["c-0",7]})",
         R"({"format":1,"controllers":["c-0"]})", R"({"controllers":["c-0"]})", R"({"format":2})",
         R"({"format":2,"controllers":7})", "{}", "7"},
        [](const wire::Json& v) { return print_optional(records::parse_format(v)); });
    const auto provisioning_requests = sample_provisioning_requests();
    for (const auto& request : provisioning_requests)
        golden.put("rental", print(records::provisioning_request_json(request)));
    golden.put("rentals", print(records::provisioning_requests_json(provisioning_requests)));
    golden.put("no rentals", print(records::provisioning_requests_json({})));
    const auto request = print(records::provisioning_request_json(provisioning_requests[0]));
    std::vector<std::string> inputs{"7", "{}", request};
    for (const auto* key : {"type", "zone", "spot", "count"})
        for (const auto* value : {"", "7", "-1", "true", "\"x\""})
            inputs.push_back(with_field(request.c_str(), key, value));
    put_parsed_values(golden, "rental", inputs, [](const wire::Json& v) {
        return print_optional(records::parse_provisioning_request("r-1-1", v));
    });
    put_parsed_values(
        golden, "rentals",
        {"{}", "7", print(records::provisioning_requests_json(provisioning_requests)), R"({"r-1":{}})"},
        [](const wire::Json& v) { return print_optional(records::parse_provisioning_requests(v)); });
    for (const std::int64_t at : {0LL, 1700000000123LL})
        for (const auto final : {model::FinalStatus::done, model::FinalStatus::cancelled}) {
            const model::JobOutcome outcome{final, at};
            golden.put(print(outcome), print(records::outcome_json(outcome)));
        }
    put_parsed_values(golden, "final",
                      {R"({"f":"done"})", R"({"f":"cancelled"})", R"({"f":"odd"})", R"({"f":"done","at":5})",
                       R"({"f":"done","at":-5})", R"({"f":7})", "{}", "7"},
                      [](const wire::Json& v) { return print_optional(records::parse_outcome(v)); });
}

// --- responses of whole controllers ------------------------------------------------------------------------

constexpr const char* minimal_submission =
    R"({"NameId":"j-new","Jobclass":"small","Crew":"team","Shape":"batch","Urgency":"standard","Pieces":1,)"
    R"("Vcpus":8,"Accelerators":1,"MemGb":32,"Bundle":"img-1","SizeGb":5,"Together":false,"Spread":false,)"
    R"("Loaners":true,"GuessS":60,"NotchS":10,"StashS":2})";

class RequestRecorder {
   public:
    RequestRecorder(ClusterSimulator& cluster, Golden& golden) : cluster_(cluster), golden_(golden) {}
    void record_request(int node, const std::string& method, const std::string& target,
                        const std::string& body = {}) {
        const auto response = cluster_.request(node, method, target, body);
        golden_.put(method + " " + target + (body.empty() ? "" : " ") + body,
                    response ? print(*response) : "no answer");
    }
    // Submits a minimal job with one field replaced.
    void submit(const std::string& key, const std::string& value, int node = 0) {
        record_request(node, "POST", "/submissions", with_field(minimal_submission, key, value));
    }
    void put(const std::string& label, const std::optional<net::Response>& response) {
        golden_.put(label, response ? print(*response) : "no answer");
    }

   private:
    ClusterSimulator& cluster_;
    Golden& golden_;
};

void record_path_requests(RequestRecorder& recorder) {
    for (const auto* method : {"GET", "POST", "PUT", "DELETE"})
        for (const auto* target : {"/submissions", "/submissions/j-404", "/submissions/j-404/cancel", "/up",
                                   "/checkin", "/", "/nothing", "/submissions/", "/submissions/j-1/other",
                                   "/submissions//cancel", "/submissions/odd?x=1"})
            recorder.record_request(0, method, target);
}

void record_invalid_submissions(RequestRecorder& recorder) {
    for (const auto& body : malformed_bodies) recorder.record_request(0, "POST", "/submissions", body);
    for (const auto* key :
         {"NameId", "Jobclass", "Crew", "Shape", "Urgency", "Pieces", "Vcpus", "Accelerators", "MemGb",
          "Bundle", "SizeGb", "Together", "Spread", "Loaners", "GuessS", "NotchS", "StashS"})
        recorder.submit(key, "");
    recorder.submit("Crew", "\"nobody\"");
    recorder.submit("Vcpus", "500");
    recorder.submit("Breeds", "[\"none\"]");
    recorder.submit("Yard", "\"z\"");
    recorder.record_request(
        0, "POST", "/submissions",
        with_field(with_field(minimal_submission, "Crew", "\"capped\"").c_str(), "Accelerators", "3"));
    recorder.submit("WaitsOn", "7");
    recorder.submit("WaitsOn", "[\"x\"]");
    recorder.submit("WaitsOn", "[\"j-new\"]");
    recorder.submit("WaitsOn", "[\"j-404\"]");
    recorder.submit("WaitsOn", "[\"j-service\"]");
    std::string list = "[\"j-0\"";
    for (int i = 1; i < 501; ++i) list += ",\"j-" + std::to_string(i) + "\"";
    recorder.submit("WaitsOn", list + "]");
}

TEST(Golden, ControllerResponses) {
    Golden golden("http");
    ClusterSimulator cluster("golden_http", 3);
    RequestRecorder recorder(cluster, golden);
    cluster.workers.cloud_capacity = 6;
    cluster.workers.task_run_s["j-done/0"] = 5;
    cluster.run(5);
    golden.section("accepted");
    recorder.put("done", cluster.submit(0, "j-done"));
    recorder.put("runs", cluster.submit(1, "j-runs"));
    recorder.put("runs again", cluster.submit(2, "j-runs"));
    recorder.put("waits", cluster.submit(2, "j-waits",
                                         {{"Vcpus", 32}, {"Yard", "b"}, {"WaitsOn", json::array{"j-runs"}}}));
    recorder.put("service", cluster.submit(0, "j-service", {{"Shape", "standing"}}));
    recorder.put("cancelled", cluster.submit(0, "j-cancelled"));
    recorder.put("cancel", cluster.cancel(0, "j-cancelled"));
    cluster.run(60);
    golden.section("polls");
    for (const auto* id : {"j-done", "j-runs", "j-waits", "j-service", "j-cancelled", "j-404", "odd"}) {
        recorder.record_request(0, "GET", std::string("/submissions/") + id);
        recorder.record_request(2, "GET", std::string("/submissions/") + id);
    }
    for (const auto* id : {"j-done", "j-cancelled", "j-404", "odd"})
        recorder.record_request(0, "POST", std::string("/submissions/") + id + "/cancel");
    golden.section("paths");
    record_path_requests(recorder);
    golden.section("submissions");
    record_invalid_submissions(recorder);
    recorder.put("after a cancelled one",
                 cluster.submit(0, "j-orphan", {{"WaitsOn", json::array{"j-cancelled"}}}));
    recorder.put("known by then", cluster.submit(0, "j-done"));
    cluster.store.max_value_bytes = 10;
    recorder.submit("Crew", "\"team\"");
    cluster.store.max_value_bytes = SIZE_MAX;
    golden.section("check-ins");
    model::Heartbeat heartbeat;
    heartbeat.machine = "m-77", heartbeat.agent_epoch = 1, heartbeat.sequence = 5;
    const int leader = cluster.leader(), other = (leader + 1) % 3;
    const auto body = ClusterSimulator::heartbeat_body(heartbeat);
    recorder.record_request(other, "POST", "/checkin", body);
    recorder.record_request(leader, "POST", "/checkin", body);
    recorder.record_request(leader, "POST", "/checkin", body);
    for (const auto& malformed : malformed_bodies)
        recorder.record_request(leader, "POST", "/checkin", malformed);
    recorder.record_request(other, "POST", "/checkin", with_field(body.c_str(), "Host", ""));
    recorder.record_request(leader, "POST", "/checkin", with_field(body.c_str(), "Baton", "-1"));
    golden.section("outage");
    cluster.store_outage = true;
    cluster.run(8);
    recorder.record_request(other, "GET", "/up");
    recorder.record_request(other, "GET", "/submissions/j-done");
    recorder.record_request(other, "GET", "/submissions/j-runs");
    recorder.record_request(other, "POST", "/submissions/j-runs/cancel");
    recorder.submit("Crew", "\"team\"", other);
    cluster.store_outage = false;
    cluster.store.extend_leases(cluster.now());
    cluster.run(5);
}

TEST(Golden, ControllerResponsesBesideAnEarlierVersion) {
    Golden golden("http_earlier");
    ClusterOptions options;
    options.record_format = 1;
    ClusterSimulator cluster("golden_http_earlier", 3, options);
    RequestRecorder recorder(cluster, golden);
    recorder.record_request(0, "GET", "/up");
    recorder.submit("Crew", "\"team\"");
    cluster.run(5);
    recorder.record_request(0, "GET", "/up");
    recorder.put("first", cluster.submit(0, "j-1"));
    recorder.submit("WaitsOn", "[\"j-1\"]");
}

class UnreachableClient : public net::Client {
   public:
    net::awaitable<std::optional<net::Response>> request(std::string, std::string, std::string,
                                                         double) override {
        co_return std::nullopt;
    }
};

TEST(Golden, PeerApiResponses) {
    Golden golden("http_peers");
    net::Clock::simulated_now = net::Clock::time_point(net::seconds(1000));
    {
        net::asio::io_context io;
        auto config = settings();
        config.store_endpoint = {"state", 1}, config.cloud_endpoint = {"cloud", 1};
        config.public_endpoint = config.peer_endpoint = {"127.0.0.1", 1};
        config.peers = {{"c-1", "a", {"peer", 1}}};
        const config::Tuning tuning;
        controller::Controller node(
            io, config, tuning, [](const config::Endpoint&) { return std::make_unique<UnreachableClient>(); },
            1);
        const auto record_request = [&](const std::string& method, const std::string& target,
                                        const std::string& body) {
            std::optional<net::Response> response;
            net::Request request{method, target, body};
            net::asio::co_spawn(
                io,
                [](controller::Controller& receiver, net::Request r,
                   std::optional<net::Response>& result) -> net::awaitable<void> {
                    result = co_await receiver.handle_peer_request(std::move(r));
                }(node, std::move(request), response),
                net::asio::detached);
            io.restart();
            while (!response && io.poll() > 0) {
            }
            const std::string response_text =
                response ? std::to_string(response->status) + " " + hex(response->body) : std::string("none");
            golden.put(method + " " + target + " " + hex(body), response_text);
        };
        for (const auto* method : {"GET", "POST", "PUT"})
            for (const auto* target : {"/gossip", "/gossip?x=1", "/", "/submissions"})
                record_request(method, target, "");
        record_request("POST", "/gossip", "garbage");
        for (const auto& message : sample_peer_messages())
            record_request("POST", "/gossip", wire::encode_peer_message(message));
    }
    net::Clock::simulated_now.reset();
}

TEST(Golden, StoreRowsOfARunningCluster) {
    Golden golden("rows");
    ClusterOptions options;
    options.adjust_settings = [](config::Settings& s) { s.max_value_kb = s.current_max_value_kb = 2; };
    ClusterSimulator cluster("golden_rows", 3, options);
    cluster.workers.cloud_capacity = 6;
    cluster.workers.task_run_s["j-array/0"] = cluster.workers.task_run_s["j-first/0"] = 5;
    cluster.run(8);
    golden.section("at the start");
    put_store_rows(golden, cluster.store.rows());
    const json::object small{{"Vcpus", 0.5}, {"Accelerators", 0}, {"MemGb", 0.5}};
    auto array = small, large = small, gang = small;
    array["Pieces"] = 3;
    large["Pieces"] = 120;
    gang["Pieces"] = 2, gang["Shape"] = "group", gang["DueS"] = 500, gang["Breeds"] = json::array{"g4"};
    cluster.submit(0, "j-first");
    cluster.submit(0, "j-array", array);
    cluster.submit(1, "j-gang", gang);
    cluster.submit(2, "j-large", large);
    cluster.submit(2, "j-waits", {{"WaitsOn", json::array{"j-array", "j-gang"}}});
    json::array dependencies;
    for (int i = 0; i < 60; ++i) {
        const std::string id = "j-abcdefghijklmnopqrstuvwxyz" + std::to_string(i);
        cluster.workers.invariants.record_submission(
            {{"NameId", id}, {"Crew", "team"}, {"Pieces", 1}, {"Accelerators", 1}});
        cluster.store.put_job(array_job(id, 1), cluster.now());
        dependencies.emplace_back(id);
    }
    cluster.run(2);
    cluster.submit(0, "j-list", {{"WaitsOn", dependencies}});
    cluster.run(2);
    golden.section("accepted");
    put_store_rows(golden, cluster.store.rows());
    cluster.run(60);
    golden.section("running");
    put_store_rows(golden, cluster.store.rows());
    cluster.cancel(0, "j-large");
    cluster.cancel(1, "j-gang");
    cluster.cancel(1, "j-list");
    cluster.run(30);
    golden.section("cancelled");
    put_store_rows(golden, cluster.store.rows());
}

// --- transactions of a leader ------------------------------------------------------------------------------

class TransactionRecorder : public LeaderSimulator {
   public:
    TransactionRecorder(const std::string& name, Golden& golden) : LeaderSimulator(name), golden_(golden) {}
    void commit_and_print() {
        for (int i = 0; i < 50; ++i) {
            const auto batch = next_write_batch();
            if (!batch) return;
            golden_.put("transaction", wire::commit_request(batch->transaction));
            apply_batch(*batch);
        }
    }
    void send_and_print_heartbeat(const std::string& machine) {
        golden_.put("answer to " + machine,
                    wire::heartbeat_response(leader_state().fencing_token(), send_heartbeat(machine)));
    }
    // Advances the time by two seconds and plans. Prints the transactions, provisioning requests and
    // heartbeat responses that result.
    void step() {
        advance(2);
        plan();
        for (const auto& request : provision_machines())
            golden_.put("rental", wire::provisioning_request(request));
        commit_and_print();
        for (const auto& [id, w] : workers) send_and_print_heartbeat(id);
        commit_and_print();
    }
    void set_all_tasks(model::TaskState state, model::ExitCause cause = model::ExitCause::none) {
        for (auto& [id, w] : workers)
            for (auto& t : w.tasks)
                if (t.state != model::TaskState::exited) t.state = state, t.cause = cause;
    }

   private:
    Golden& golden_;
};

TEST(Golden, TransactionsOfTwoTerms) {
    Golden golden("transactions");
    TransactionRecorder simulator("golden_transactions", golden);
    simulator.begin_term();
    simulator.add_worker("m-a"), simulator.add_worker("m-b", "g4", "b"),
        simulator.add_worker("m-c", "g2", "a", true);
    for (const auto* id : {"m-a", "m-b", "m-c"}) simulator.synchronize_worker(id);
    golden.section("array, gang and a job that waits");
    simulator.submit(array_job("j-array", 3));
    simulator.submit(gang_job("j-gang", 2));
    auto waits = array_job("j-waits", 1);
    waits.dependencies = {"j-array"};
    simulator.submit(waits);
    for (int i = 0; i < 2; ++i) simulator.step();
    golden.section("running");
    simulator.set_all_tasks(model::TaskState::running);
    for (int i = 0; i < 2; ++i) simulator.step();
    golden.section("ends");
    simulator.set_task_state("j-array/0", model::TaskState::exited, model::ExitCause::done);
    simulator.step();
    simulator.set_all_tasks(model::TaskState::exited, model::ExitCause::done);
    for (int i = 0; i < 3; ++i) simulator.step();
    golden.section("cancelled");
    simulator.submit(array_job("j-cancelled", 2));
    simulator.step();
    simulator.cancel("j-cancelled");
    for (int i = 0; i < 3; ++i) simulator.step();
    golden.section("a new term");
    simulator.submit(array_job("j-late", 2));
    simulator.step();
    simulator.begin_term();
    for (int i = 0; i < 3; ++i) simulator.step();
}

TEST(Golden, TransactionsOfALargeJob) {
    Golden golden("transactions_large");
    TransactionRecorder simulator("golden_transactions_large", golden);
    simulator.config.max_value_kb = simulator.config.current_max_value_kb = 2;
    simulator.sharding_allowed = true;
    simulator.begin_term();
    for (int i = 0; i < 40; ++i)
        simulator.synchronize_worker(
            (simulator.add_worker("m-" + std::to_string(10 + i)), "m-" + std::to_string(10 + i)));
    simulator.submit(array_job("j-large", 150));
    for (int i = 0; i < 2; ++i) simulator.step();
    simulator.set_all_tasks(model::TaskState::running);
    simulator.step();
    for (const int i : {0, 7, 100})
        simulator.set_task_state("j-large/" + std::to_string(i), model::TaskState::exited,
                                 model::ExitCause::done);
    for (int i = 0; i < 3; ++i) simulator.step();
    simulator.set_all_tasks(model::TaskState::exited, model::ExitCause::done);
    for (int i = 0; i < 4; ++i) simulator.step();
}

// Runs last, since it needs a golden file that the other tests write.
TEST(Golden, DifferingGoldenFileFails) {
    EXPECT_NONFATAL_FAILURE(compare_golden("users", "text"), "differs");
}

}  // namespace
}  // namespace pineroad::test
