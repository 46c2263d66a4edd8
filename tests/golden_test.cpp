// What goes over the wire and what is stored, byte for byte as tests/golden/*.golden have it: requests,
// answers, messages between controllers, records and transactions, and what is read from good and bad input.
// The kept text uses labels of its own, so that a change of names in the code leaves it as it is.
// PINEROAD_KEEP_GOLDEN=1 writes the files anew after a change that was meant.
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

// --- kept files --------------------------------------------------------------------------------------------

std::string golden_path(const std::string& name) {
    return std::string(PINEROAD_GOLDEN) + "/" + name + ".golden";
}

void compare_golden(const std::string& name, const std::string& text) {
    std::ifstream in(golden_path(name), std::ios::binary);
    if (!in) {
        ADD_FAILURE() << "golden file of " << name << " is missing";
        return;
    }
    std::ostringstream kept;
    kept << in.rdbuf();
    EXPECT_EQ(kept.str(), text) << "golden file of " << name << " differs";
}

// Lines of text that are compared with the kept file at the end of the scope.
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

// --- text of values ----------------------------------------------------------------------------------------

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
std::string print_or_nothing(const std::optional<T>& value);  // defined where every print is known

// --- adaptors: the code's types behind the kept text
// ---------------------------------------------------------

// Every field of a job: its stored form and its name.
std::string print(const model::JobSpec& job) {
    return job.id + " " + print(records::job_json(job));
}

std::string read_submission(const std::string& body) {
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

std::string print(const model::Heartbeat& report) {
    std::string out = "host " + print(report.machine) + " address " + print(report.address) + " breed " +
                      print(report.type) + " yard " + print(report.zone) + " loaner " + print(report.spot) +
                      " stint " + print(report.agent_epoch) + " tick " + print(report.sequence) + " baton " +
                      print(report.fencing_token) + " warning " +
                      print_or_nothing(report.interruption_notice_s) + " pieces";
    for (const auto& task : report.tasks) out += " {" + print(task) + "}";
    return out;
}

std::string read_report(const std::string& body) {
    const auto parsed = wire::parse_heartbeat(body);
    if (!parsed) return "refused: " + parsed.error().message();
    return "report " + print(*parsed);
}

std::vector<model::Command> sample_orders() {
    using Kind = model::Command::Kind;
    return {{Kind::start, {"j-1", 4}, 2, 0},
            {Kind::start, {"j-1", 5}, 3, 7},
            {Kind::stop, {"j-2", 1}, 1, 10},
            {Kind::stop, {"j-2", 99999}, 18446744073709551615ULL, 0.25},
            {Kind::forget, {"j-3", 0}, 1, 0}};
}

std::string print(const std::vector<model::MachineType>& types) {
    std::string out;
    for (const auto& t : types)
        out += "{" + print(t.name) + " room " + print(t.capacity.cpus) + " " + print(t.capacity.gpus) + " " +
               print(t.capacity.memory_gb) + " cache " + print(t.cache_gb) + " fetch " +
               print(t.fetch_gb_per_s) + " price " + print(t.price) + " loaner " + print(t.spot_price) +
               " boot " + print(t.boot_s) + " yards " + print(t.zones) + "}";
    return "types " + out;
}

std::string print(const wire::MachineList& list) {
    static const char* states[] = {"booting", "running", "failed"};
    std::string out;
    for (const auto& m : list.machines)
        out += "{" + print(m.id) + " " + print(m.address) + " " + print(m.type) + " " + print(m.zone) +
               " loaner " + print(m.spot) + " " + states[static_cast<int>(m.status)] + " held " +
               print(m.age_s) + "}";
    return "machines " + out + " more " + print(list.truncated);
}

std::string print(const wire::Row& row) {
    return "{" + row.key + " " + print(row.value) + " stamp " + print(row.mod_revision) + "}";
}
std::string print(const wire::Rows& rows) {
    std::string out = "epoch " + print(rows.revision) + " more " + print(rows.truncated);
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

std::string print(const wire::PeerMessage& g) {
    std::string out = "node " + print(g.node) + " token " + print(g.fencing_token) + " leader " +
                      print(g.leader) + " up " + print(g.uptime_ms) + " state " +
                      print(g.store_contact_age_ms) + " report " + print(g.heartbeat_age_ms) + " epoch " +
                      print(g.revision) + " vouches " + print(g.confirms_cancellations) + " format " +
                      print(g.record_format) + " asked " + print(g.dependencies_requested) + " cancelled";
    for (const auto& [revision, job] : g.cancelled) out += " " + print(revision) + "=" + print(job);
    return out;
}

std::vector<wire::PeerMessage> sample_messages() {
    const auto max_placements = ~std::uint64_t{0};
    return {{},
            {"c-1", 7, "c-2", 1000, 20, 30, 77, true, {{5, "j-1"}, {6, "j-2"}}, 1, false},
            {"c-0", 1, "", 0, 0, 0, 0, false, {}, 2, true},
            {"a-long-name-of-a-controller",
             max_placements,
             "c-9",
             max_placements,
             max_placements,
             max_placements,
             max_placements,
             true,
             {{max_placements, "j-a"}},
             3,
             true}};
}

// Without what is optional, and with all of it.
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
model::JobSpec job_with_long_list(int dependencies) {
    auto job = array_job("j-list", 1);
    for (int i = 0; i < dependencies; ++i) job.dependencies.push_back("j-before" + std::to_string(i));
    return job;
}

std::string print(const model::Progress& p) {
    std::string out = "done";
    for (const auto& i : p.done)
        out += " " + std::to_string(boost::icl::first(i)) + "-" + std::to_string(boost::icl::last(i));
    out += " placed";
    for (const auto& x : p.placements)
        out += " " + std::to_string(x.index) + "#" + print(x.attempt) + "@" + print(x.machine);
    return out + " next " + print(p.next_attempt) + " ran " + print(p.checkpointed_run_s) + " need " +
           print(p.task_resources.cpus) + " " + print(p.task_resources.gpus) + " " +
           print(p.task_resources.memory_gb) + " team " + print(p.team) + " partial " + print(p.is_shard);
}

model::Progress sample_progress(bool is_shard) {
    model::Progress p;
    p.done += boost::icl::discrete_interval<std::uint32_t>::closed(0, 4);
    p.done += 9U;
    p.placements = {{5, 7, "m-1"}, {8, 12, "m-22"}};
    p.next_attempt = 13;
    p.checkpointed_run_s = 61.25;
    p.task_resources = {8, 1, 32};
    p.team = "team";
    p.is_shard = is_shard;
    return p;
}

std::string print(const records::Segment& segment) {
    std::string out = "sequence " + print(segment.sequence.fencing_token) + "." +
                      print(segment.sequence.number) + " entries";
    for (const auto& [name, progress] : segment.entries)
        out +=
            " {" + name.job + " part " + std::to_string(name.shard) + " " + print_or_nothing(progress) + "}";
    return out;
}
std::string print(const records::EntryName& name) {
    return name.job + " part " + std::to_string(name.shard);
}
std::string print(const records::Leader& l) {
    return l.node + " token " + print(l.fencing_token) + " lease " + print(l.lease) + " nonce " +
           print(l.nonce);
}
std::string print(const std::set<std::string>& names) {
    return print(std::vector<std::string>(names.begin(), names.end()));
}
std::string print(const model::ProvisioningRequest& r) {
    return "{" + r.name + " " + r.type + " " + r.zone + " loaner " + print(r.spot) + " count " +
           std::to_string(r.count) + "}";
}
std::string print(const std::vector<model::ProvisioningRequest>& provisioning_requests) {
    std::string out = "rentals";
    for (const auto& r : provisioning_requests) out += " " + print(r);
    return out;
}
std::string print(const model::JobOutcome& ending) {
    return (ending.status == model::FinalStatus::done ? "done at " : "cancelled at ") +
           std::to_string(ending.ended_at_ms);
}
std::string print(const model::CategoryAverages& means) {
    std::string out = "means";
    for (const auto& [name, c] : means) out += " " + name + "=" + print(c.mean) + "*" + print(c.count);
    return out;
}

std::vector<model::ProvisioningRequest> sample_rentals() {
    return {{"r-1-1", "g4", "a", false, 9}, {"r-1-2", "g2", "b", true, 1}};
}

std::string print(const net::Reply& reply) {
    return std::to_string(reply.status) + " " + reply.body + (reply.retry_after_s > 0 ? " Retry-After" : "") +
           (reply.close ? " closes" : "");
}

template <class T>
std::string print_or_nothing(const std::optional<T>& value) {
    return value ? print(*value) : "nothing";
}

// The stored rows, without the leader's random number.
void put_rows(Golden& golden, const std::map<std::string, StoreSimulator::Row>& rows) {
    for (const auto& [key, row] : rows) {
        auto value = row.value;
        if (auto* object = value.if_object(); object && object->contains("nonce"))
            (*object)["nonce"] = "random";
        golden.put(key, print(value));
    }
}

// Reads a table of JSON values with one of the readers of records.
template <class Read>
void put_read(Golden& golden, const std::string& label, const std::vector<std::string>& table, Read read) {
    for (const auto& text : table) {
        const auto value = wire::parse_json(text);
        golden.put(label + " " + text, value ? read(*value) : "not JSON");
    }
}
template <class Read>
void put_bodies(Golden& golden, const std::string& label, const std::vector<std::string>& table, Read read) {
    for (const auto& text : table) golden.put(label + " " + text, read(text));
}

// --- bodies ------------------------------------------------------------------------------------------------

constexpr const char* full_submission =
    R"({"NameId":"j-000412","Jobclass":"wide","Crew":"team","Shape":"group","Urgency":"high","Pieces":16,)"
    R"("Vcpus":28.0,"Accelerators":4,"MemGb":200.5,"Bundle":"img-7","SizeGb":12,"Breeds":["g4","g2"],)"
    R"("Yard":"b","Together":true,"Spread":false,"Loaners":true,"GuessS":240.0,"NotchS":30.0,"StashS":4.0,)"
    R"("DueS":900.0,"WaitsOn":["j-1","j-2","j-1"],"New":[1]})";
constexpr const char* full_report =
    R"({"Host":"m-1","Address":"10.1.0.2:9000","Breed":"g4","Yard":"a","Loaners":true,"Stint":1,"Tick":88,)"
    R"("Baton":41,"WarningS":12.5,"Pieces":[{"Piece":"j-000412/3","Try":2,"Status":"running"}],"New":{}})";

// The body with one field replaced, or left out if there is no value.
std::string with(const char* body, const std::string& key, const std::string& value) {
    auto doc = json::parse(body).as_object();
    if (value.empty())
        doc.erase(key);
    else
        doc[key] = json::parse(value);
    return json::serialize(doc);
}

const std::vector<std::string> not_objects{"", "{", "[]", "null", "7", "\"text\"", "{}", "<html>"};
const std::vector<std::string> odd_values{"",   "null", "{}",    "[]",   "[1]",      "[\"\"]", "7",     "0",
                                          "-1", "1.5",  "1e999", "true", "\"word\"", "\"\"",   "100001"};

// Every field with every odd value; then the words that a field knows.
std::vector<std::string> variants(const char* body, const std::vector<std::string>& keys,
                                  const std::vector<std::pair<std::string, std::string>>& more) {
    std::vector<std::string> out = not_objects;
    out.emplace_back(body);
    for (const auto& key : keys)
        for (const auto& value : odd_values)
            if (value != "1e999") out.push_back(with(body, key, value));
    for (const auto& [key, value] : more) out.push_back(with(body, key, value));
    return out;
}

// --- the tests ---------------------------------------------------------------------------------------------

TEST(Golden, AMissingFileFails) {
    EXPECT_NONFATAL_FAILURE(compare_golden("no_such_subject", "text"), "is missing");
}

TEST(Golden, Users) {
    Golden g("users");
    using State = wire::JobStatus;
    const std::pair<const char*, State> states[] = {{"queued", State::queued},
                                                    {"running", State::running},
                                                    {"done", State::done},
                                                    {"cancelled", State::cancelled}};
    for (const auto& [name, state] : states) {
        g.put(name, wire::job_status_response("j-1", state));
        g.put(std::string(name) + " with counts",
              wire::job_status_response("j-1", state, wire::TaskCounts{3, 100000}));
    }
    for (const auto* reason : {"", "no such job", "a \"quoted\" reason \n\x01 \xc3\xa9"})
        g.put("error", wire::error_response(reason));
    for (const auto* id :
         {"j-1", "j-", "j-aZ09", "j_1", "", "j-a/b", "j-a b", "000412",
          "j-34567890123456789012345678901234567890", "j-345678901234567890123456789012345678901"})
        g.put(std::string("valid id ") + id, print(wire::valid_job_id(id)));
}

TEST(Golden, Submissions) {
    Golden g("submissions");
    put_bodies(g, "submission",
               variants(full_submission,
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
               read_submission);
    g.put("infinite amount", read_submission(R"({"NameId":"j-1","Vcpus":1e999})"));
}

TEST(Golden, Workers) {
    Golden g("workers");
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
    put_bodies(g, "report",
               variants(full_report,
                        {"Host", "Address", "Breed", "Yard", "Loaners", "Stint", "Tick", "Baton", "WarningS",
                         "Pieces"},
                        pieces),
               read_report);
    g.put("orders", wire::heartbeat_response(41, sample_orders()));
    g.put("no orders", wire::heartbeat_response(0, {}));
    g.put("direct", wire::direct_command_request(41, 7, sample_orders()));
    g.put("direct, none", wire::direct_command_request(0, 0, {}));
    g.put("redirect", wire::redirect_response("c-2"));
    g.put("redirect to nobody", wire::redirect_response(""));
}

TEST(Golden, Cloud) {
    Golden g("cloud");
    g.put("types", print(wire::machine_types_json(machine_types())));
    g.put("no types", print(wire::machine_types_json({})));
    const std::string type = R"({"Name":"g4","Vcpus":32,"Accelerators":4,"MemGb":256.5,"Yards":["a","b"]})";
    std::vector<std::string> types{print(wire::machine_types_json(machine_types())),
                                   "[]",
                                   "{}",
                                   R"({"Breeds":7})",
                                   R"({"Breeds":[]})",
                                   R"({"Breeds":[7]})"};
    for (const auto* key : {"Name", "Vcpus", "Accelerators", "MemGb", "Yards"})
        for (const auto* value : {"", "null", "{}", "[7]", "7.5", "\"a\""})
            types.push_back("{\"Breeds\":[" + with(type.c_str(), key, value) + "]}");
    for (const auto* key : {"CacheGb", "PullGbPerS", "Hourly", "MarketPrice", "StartupS"})
        for (const auto* value : {"7.5", "\"a\""})
            types.push_back("{\"Breeds\":[" + with(type.c_str(), key, value) + "]}");
    put_read(g, "read types", types,
             [](const wire::Json& v) { return print_or_nothing(wire::parse_machine_types(v)); });
    for (const auto& rental : sample_rentals()) g.put("rental", wire::provisioning_request(rental));
    put_bodies(
        g, "rented",
        {R"({"Hosts":["m-1","m-2"],"New":1})", R"({"Hosts":[]})", R"({"Hosts":[7]})", R"({"Hosts":{}})", "{}",
         "[]", "", "null"},
        [](const std::string& body) { return print_or_nothing(wire::parse_provisioned_machines(body)); });
    g.put("release", wire::release_request({"m-1", "m-2"}));
    g.put("release of none", wire::release_request({}));
    for (const auto* after : {"", "m-1", "m 1/ü&?=%"}) g.put("list", wire::machine_list_target(after, 500));
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
            lists.push_back("{\"Hosts\":[" + with(host.c_str(), key, value) + "]}");
    put_bodies(g, "list", lists,
               [](const std::string& body) { return print_or_nothing(wire::parse_machine_list(body)); });
}

TEST(Golden, StateServiceRequests) {
    Golden g("store_requests");
    for (const auto path :
         {wire::submissions_path, wire::heartbeat_path, wire::health_path, wire::direct_command_path,
          wire::machine_types_path, wire::machines_path, wire::release_path, wire::commit_path,
          wire::leases_path, wire::peer_message_path})
        g.put("path", std::string(path));
    g.put("key", wire::row_target("pr/final/j-1"));
    g.put("list", wire::row_list_target("pr/live/", "", 500));
    g.put("list on", wire::row_list_target("pr/live/", "pr/live/a/j 1#2?&=ü", 1));
    g.put("follow", wire::watch_target("pr/", 7, 2000));
    g.put("follow", wire::watch_target("p r", 18446744073709551615ULL, 0));
    g.put("lease", wire::lease_request(6000));
    g.put("lease target", wire::lease_target(77));
    g.put("touch", wire::renew_lease_target(77));
    wire::Transaction txn;
    g.put("empty transaction", wire::commit_request(txn));
    txn.conditions = {{"pr/a", 0}, {"pr/b", 18446744073709551615ULL}};
    txn.changes = {{"pr/a", json::object{{"z", 1}, {"a", 2.5}}, std::nullopt},
                   {"pr/b", std::nullopt, std::nullopt},
                   {"pr/c", json::array{"x", nullptr, true}, 77},
                   {"pr/d", json::value(nullptr), std::nullopt}};
    g.put("transaction", wire::commit_request(txn));
}

TEST(Golden, StateServiceAnswers) {
    Golden g("store_answers");
    put_bodies(g, "epoch", {R"({"Epoch":433})", R"({"Epoch":-1})", R"({"Epoch":1.5})", "{}", "[]", ""},
               [](const std::string& body) { return print_or_nothing(wire::parse_revision(body)); });
    put_bodies(
        g, "failed",
        {R"({"failed":["a/b","c"],"Epoch":431})", R"({"failed":[7,"c"]})", R"({"failed":7})", "{}", ""},
        [](const std::string& body) { return print(wire::parse_failed_conditions(body)); });
    put_bodies(g, "permit", {R"({"Permit":7})", R"({"Permit":"7"})", "{}", ""},
               [](const std::string& body) { return print_or_nothing(wire::parse_lease(body)); });
    const std::vector<std::string> rows{R"({"Key":"a/b","Value":{"z":1,"a":[2.5]},"Stamp":7})",
                                        R"({"Key":"a/b","Value":null,"Stamp":7})",
                                        R"({"Key":"a/b","Stamp":7})",
                                        R"({"Value":1,"Stamp":7})",
                                        R"({"Key":"a/b","Value":1})",
                                        R"({"Key":7,"Value":1,"Stamp":7})",
                                        R"({"Key":"a/b","Value":1,"Stamp":-7})",
                                        "7"};
    put_bodies(g, "row", rows,
               [](const std::string& body) { return print_or_nothing(wire::parse_row(body)); });
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
    put_bodies(g, "rows", lists,
               [](const std::string& body) { return print_or_nothing(wire::parse_rows(body)); });
    put_bodies(
        g, "events",
        {R"({"Epoch":433,"Events":[{"Write":"c/9","Value":{"a":1},"Stamp":433},{"Drop":"c/d","Stamp":432}]})",
         R"({"Epoch":433,"Events":[{"Write":"c/9","Value":null,"Stamp":433}]})",
         R"({"Epoch":433,"Events":[{"Write":"c/9","Stamp":433}]})",
         R"({"Epoch":433,"Events":[{"Write":"c/9","Value":1}]})", R"({"Epoch":433,"Events":[{"Stamp":1}]})",
         R"({"Epoch":433,"Events":[7]})", R"({"Epoch":433,"Events":7})", R"({"Epoch":433})",
         R"({"Events":[]})", "[]", ""},
        [](const std::string& body) { return print_or_nothing(wire::parse_watch_events(body)); });
}

TEST(Golden, Peers) {
    Golden g("peers");
    for (const auto& message : sample_messages()) {
        const auto bytes = wire::encode_peer_message(message);
        g.put("message", print(message));
        g.put("bytes", hex(bytes));
        g.put("read back", print_or_nothing(wire::parse_peer_message(bytes)));
        g.put("cut short", print_or_nothing(wire::parse_peer_message(bytes.substr(0, bytes.size() - 1))));
    }
    g.put("empty", print_or_nothing(wire::parse_peer_message("")));
    g.put("empty map", print_or_nothing(wire::parse_peer_message(from_hex("a0"))));
    g.put("garbage", print_or_nothing(wire::parse_peer_message("not cbor")));
    std::ifstream in(std::string(PINEROAD_FIXTURES) + "/version-0.4.json");
    std::ostringstream text;
    text << in.rdbuf();
    const auto kept = json::parse(text.str()).as_object();
    const std::string earlier(kept.at("gossip").as_string());
    g.put("version 0.4", print_or_nothing(wire::parse_peer_message(from_hex(earlier))));
}

TEST(Golden, Keys) {
    Golden g("keys");
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
    for (const auto& [label, text] : constants) g.put(label, std::string(text));
    g.put("job", records::job_key("j-1"));
    g.put("progress of a job", records::progress_key("j-1"));
    g.put("segment", records::segment_key("0007"));
    g.put("rental by name", records::provisioning_request_key("r-1-2"));
    g.put("final of a job", records::outcome_key("j-1"));
    g.put("dependencies of a job", records::dependencies_key("j-1", 12));
    g.put("under", print_or_nothing(records::strip_prefix("pr/live/a/j-1", records::job_prefix)));
    g.put("not under", print_or_nothing(records::strip_prefix("pr/live/s/0", records::job_prefix)));
    g.put("format", print(std::uint64_t{records::record_format}));
    g.put("entry", records::entry_name({"j-1", 0}));
    g.put("entry of a part", records::entry_name({"j-1", 12}));
    put_bodies(g, "entry name", {"j-1", "j-1#1", "j-1#12", "j-1#0", "j-1#", "j-1#x", "j-1#1x", "j-1#-1", ""},
               [](const std::string& name) { return print_or_nothing(records::parse_entry_name(name)); });
}

TEST(Golden, JobRecords) {
    Golden g("job_records");
    for (const auto& job : {plain_job(), full_job()}) {
        const auto stored = records::job_json(job);
        g.put(job.id, print(stored));
        g.put("read back", print_or_nothing(records::parse_job(job.id, stored)));
    }
    const auto sharded = [&](const model::JobSpec& job, std::size_t bytes, std::size_t max_placements) {
        const auto shards = records::job_records(job, bytes, max_placements);
        g.section(job.id + " in records of " + std::to_string(bytes) + ", " + std::to_string(max_placements) +
                  " further");
        if (!shards) return g.put("records", "nothing");
        g.put("job", print(shards->job));
        for (const auto& record : shards->dependencies) {
            g.put("further", print(record));
            g.put("read back", print_or_nothing(records::parse_dependencies(record)));
        }
    };
    sharded(plain_job(), 8000, 4);
    sharded(plain_job(), 100, 4);
    sharded(job_with_long_list(5), 8000, 4);
    sharded(job_with_long_list(100), 500, 4);
    sharded(job_with_long_list(100), 500, 2);
    sharded(job_with_long_list(100), 500, 0);
    g.section("read");
    const auto full = print(records::job_json(full_job()));
    std::vector<std::string> table{"7", "null", "[]", "{}", full};
    for (const auto* key :
         {"class", "team", "image", "shape", "prio", "tasks", "need", "gb",  "one_zone", "spread",
          "spot",  "est",  "ckpt",  "save",  "at",   "types", "zone", "due", "after",    "more"})
        for (const auto* value : {"", "null", "7", "-1", "\"j\"", "[1,2,\"x\"]", "[1,2,3]", "true"})
            table.push_back(with(full.c_str(), key, value));
    put_read(g, "job", table,
             [](const wire::Json& v) { return print_or_nothing(records::parse_job("j-read", v)); });
    put_read(g, "dependencies",
             {R"({"after":"1 2 a"})", R"({"after":" 1  2 "})", R"({"after":""})", "{}", "7"},
             [](const wire::Json& v) { return print_or_nothing(records::parse_dependencies(v)); });
}

TEST(Golden, ProgressRecords) {
    Golden g("progress_records");
    model::Progress none;
    g.put("none", print(records::progress_json(none)));
    for (const bool is_shard : {false, true})
        for (const std::uint32_t shard : {0U, 3U}) {
            const auto stored = records::progress_json(sample_progress(is_shard), shard);
            g.put(std::string(is_shard ? "partial" : "whole") + ", part " + std::to_string(shard),
                  print(stored));
            g.put("read back", print_or_nothing(records::parse_progress(stored)));
        }
    const auto full = print(records::progress_json(sample_progress(false)));
    std::vector<std::string> table{"7", "null", "[]", "{}"};
    for (const auto* key : {"d", "r", "n", "c", "s", "w", "t"})
        for (const auto* value : {"", "7", "[7]", "[[1]]", "[[1,\"x\"]]", "[[1,2,3]]", "[[1,2,\"m\"]]",
                                  "[1,2,3]", "true", "\"x\""})
            table.push_back(with(full.c_str(), key, value));
    put_read(g, "progress", table,
             [](const wire::Json& v) { return print_or_nothing(records::parse_progress(v)); });
    json::object entries;
    entries["j-1"] = records::progress_json(sample_progress(false));
    entries["j-2"] = records::progress_json(sample_progress(true));
    entries["j-2#3"] = records::progress_json(sample_progress(true), 3);
    entries["j-3"] = nullptr;
    entries["j-3#1"] = nullptr;
    const auto segment = records::segment_json({7, 12}, entries);
    g.put("segment", print(segment));
    g.put("read back", print_or_nothing(records::parse_segment(segment)));
    g.put("empty segment", print(records::segment_json({1, 1}, {})));
    put_read(g, "segment",
             {"7", "{}", R"({"n":[1,2]})", R"({"n":[1,2],"jobs":{}})", R"({"n":[1],"jobs":{}})",
              R"({"n":[1,"x"],"jobs":{}})", R"({"n":7,"jobs":{}})", R"({"n":[1,2],"jobs":[]})",
              R"({"n":[1,2],"jobs":{"j-1":{}}})", R"({"n":[1,2],"jobs":{"j-1#0":null}})",
              R"({"n":[1,2],"jobs":{"j-1#2":null}})"},
             [](const wire::Json& v) { return print_or_nothing(records::parse_segment(v)); });
}

TEST(Golden, OtherRecords) {
    Golden g("other_records");
    g.put("leader", print(records::leader_json({"c-1", 7, 8, 18446744073709551615ULL})));
    put_read(g, "leader",
             {R"({"node":"c-1","token":7,"lease":8,"nonce":9})", R"({"node":"c-1","token":7,"lease":8})",
              R"({"node":"c-1","token":7,"nonce":9})", R"({"node":"c-1","lease":8,"nonce":9})",
              R"({"token":7,"lease":8,"nonce":9})", R"({"node":7,"token":7,"lease":8,"nonce":9})", "{}", "7"},
             [](const wire::Json& v) { return print_or_nothing(records::parse_leader(v)); });
    g.put("term", print(records::term_json(41)));
    put_read(g, "term", {print(records::term_json(41)), "41", "{}", "null", "\"41\"", R"({"token":-1})"},
             [](const wire::Json& v) { return print_or_nothing(records::parse_term(v)); });
    g.put("means", print(records::category_averages_json({{"w0l1", {1.25, 3}}, {"w2l0", {10, 1}}})));
    put_read(g, "means",
             {R"({"w0l1":[1.25,3],"w2l0":[10,1]})", R"({"a":[1],"b":[1,-1],"c":7,"d":["x",1],"e":[1,2]})",
              "{}", "7"},
             [](const wire::Json& v) { return print(records::parse_category_averages(v)); });
    g.put("format", print(records::format_json({"c-0", "c-1"})));
    put_read(g, "format",
             {R"({"format":2,"controllers":["c-0","c-1"]})", R"({"format":3,"controllers":["c-0",7]})",
              R"({"format":1,"controllers":["c-0"]})", R"({"controllers":["c-0"]})", R"({"format":2})",
              R"({"format":2,"controllers":7})", "{}", "7"},
             [](const wire::Json& v) { return print_or_nothing(records::parse_format(v)); });
    const auto provisioning_requests = sample_rentals();
    for (const auto& rental : provisioning_requests)
        g.put("rental", print(records::provisioning_request_json(rental)));
    g.put("rentals", print(records::provisioning_requests_json(provisioning_requests)));
    g.put("no rentals", print(records::provisioning_requests_json({})));
    const auto rental = print(records::provisioning_request_json(provisioning_requests[0]));
    std::vector<std::string> table{"7", "{}", rental};
    for (const auto* key : {"type", "zone", "spot", "count"})
        for (const auto* value : {"", "7", "-1", "true", "\"x\""})
            table.push_back(with(rental.c_str(), key, value));
    put_read(g, "rental", table, [](const wire::Json& v) {
        return print_or_nothing(records::parse_provisioning_request("r-1-1", v));
    });
    put_read(g, "rentals",
             {"{}", "7", print(records::provisioning_requests_json(provisioning_requests)), R"({"r-1":{}})"},
             [](const wire::Json& v) { return print_or_nothing(records::parse_provisioning_requests(v)); });
    for (const std::int64_t at : {0LL, 1700000000123LL})
        for (const auto final : {model::FinalStatus::done, model::FinalStatus::cancelled}) {
            const model::JobOutcome ending{final, at};
            g.put(print(ending), print(records::outcome_json(ending)));
        }
    put_read(g, "final",
             {R"({"f":"done"})", R"({"f":"cancelled"})", R"({"f":"odd"})", R"({"f":"done","at":5})",
              R"({"f":"done","at":-5})", R"({"f":7})", "{}", "7"},
             [](const wire::Json& v) { return print_or_nothing(records::parse_outcome(v)); });
}

// --- a whole controller
// --------------------------------------------------------------------------------------

constexpr const char* small_submission =
    R"({"NameId":"j-new","Jobclass":"small","Crew":"team","Shape":"batch","Urgency":"standard","Pieces":1,)"
    R"("Vcpus":8,"Accelerators":1,"MemGb":32,"Bundle":"img-1","SizeGb":5,"Together":false,"Spread":false,)"
    R"("Loaners":true,"GuessS":60,"NotchS":10,"StashS":2})";

class Asked {
   public:
    Asked(ClusterSimulator& cluster, Golden& golden) : cluster_(cluster), golden_(golden) {}
    void ask(int node, const std::string& method, const std::string& target, const std::string& body = {}) {
        const auto reply = cluster_.request(node, method, target, body);
        golden_.put(method + " " + target + (body.empty() ? "" : " ") + body,
                    reply ? print(*reply) : "no answer");
    }
    // A small job, with one field replaced.
    void submit(const std::string& key, const std::string& value, int node = 0) {
        ask(node, "POST", "/submissions", with(small_submission, key, value));
    }
    void put(const std::string& label, const std::optional<net::Reply>& reply) {
        golden_.put(label, reply ? print(*reply) : "no answer");
    }

   private:
    ClusterSimulator& cluster_;
    Golden& golden_;
};

void ask_paths(Asked& a) {
    for (const auto* method : {"GET", "POST", "PUT", "DELETE"})
        for (const auto* target : {"/submissions", "/submissions/j-404", "/submissions/j-404/cancel", "/up",
                                   "/checkin", "/", "/nothing", "/submissions/", "/submissions/j-1/other",
                                   "/submissions//cancel", "/submissions/odd?x=1"})
            a.ask(0, method, target);
}

void ask_submissions(Asked& a) {
    for (const auto& body : not_objects) a.ask(0, "POST", "/submissions", body);
    for (const auto* key :
         {"NameId", "Jobclass", "Crew", "Shape", "Urgency", "Pieces", "Vcpus", "Accelerators", "MemGb",
          "Bundle", "SizeGb", "Together", "Spread", "Loaners", "GuessS", "NotchS", "StashS"})
        a.submit(key, "");
    a.submit("Crew", "\"nobody\"");
    a.submit("Vcpus", "500");
    a.submit("Breeds", "[\"none\"]");
    a.submit("Yard", "\"z\"");
    a.ask(0, "POST", "/submissions",
          with(with(small_submission, "Crew", "\"capped\"").c_str(), "Accelerators", "3"));
    a.submit("WaitsOn", "7");
    a.submit("WaitsOn", "[\"x\"]");
    a.submit("WaitsOn", "[\"j-new\"]");
    a.submit("WaitsOn", "[\"j-404\"]");
    a.submit("WaitsOn", "[\"j-service\"]");
    std::string list = "[\"j-0\"";
    for (int i = 1; i < 501; ++i) list += ",\"j-" + std::to_string(i) + "\"";
    a.submit("WaitsOn", list + "]");
}

TEST(Golden, AnswersOfAController) {
    Golden g("http");
    ClusterSimulator c("golden_http", 3);
    Asked a(c, g);
    c.workers.cloud_capacity = 6;
    c.workers.task_run_s["j-done/0"] = 5;
    c.run(5);
    g.section("accepted");
    a.put("done", c.submit(0, "j-done"));
    a.put("runs", c.submit(1, "j-runs"));
    a.put("runs again", c.submit(2, "j-runs"));
    a.put("waits",
          c.submit(2, "j-waits", {{"Vcpus", 32}, {"Yard", "b"}, {"WaitsOn", json::array{"j-runs"}}}));
    a.put("service", c.submit(0, "j-service", {{"Shape", "standing"}}));
    a.put("cancelled", c.submit(0, "j-cancelled"));
    a.put("cancel", c.cancel(0, "j-cancelled"));
    c.run(60);
    g.section("polls");
    for (const auto* id : {"j-done", "j-runs", "j-waits", "j-service", "j-cancelled", "j-404", "odd"}) {
        a.ask(0, "GET", std::string("/submissions/") + id);
        a.ask(2, "GET", std::string("/submissions/") + id);
    }
    for (const auto* id : {"j-done", "j-cancelled", "j-404", "odd"})
        a.ask(0, "POST", std::string("/submissions/") + id + "/cancel");
    g.section("paths");
    ask_paths(a);
    g.section("submissions");
    ask_submissions(a);
    a.put("after a cancelled one", c.submit(0, "j-orphan", {{"WaitsOn", json::array{"j-cancelled"}}}));
    a.put("known by then", c.submit(0, "j-done"));
    c.store.max_value_bytes = 10;
    a.submit("Crew", "\"team\"");
    c.store.max_value_bytes = SIZE_MAX;
    g.section("check-ins");
    model::Heartbeat report;
    report.machine = "m-77", report.agent_epoch = 1, report.sequence = 5;
    const int leader = c.leader(), other = (leader + 1) % 3;
    const auto body = ClusterSimulator::heartbeat_body(report);
    a.ask(other, "POST", "/checkin", body);
    a.ask(leader, "POST", "/checkin", body);
    a.ask(leader, "POST", "/checkin", body);
    for (const auto& odd : not_objects) a.ask(leader, "POST", "/checkin", odd);
    a.ask(other, "POST", "/checkin", with(body.c_str(), "Host", ""));
    a.ask(leader, "POST", "/checkin", with(body.c_str(), "Baton", "-1"));
    g.section("outage");
    c.store_outage = true;
    c.run(8);
    a.ask(other, "GET", "/up");
    a.ask(other, "GET", "/submissions/j-done");
    a.ask(other, "GET", "/submissions/j-runs");
    a.ask(other, "POST", "/submissions/j-runs/cancel");
    a.submit("Crew", "\"team\"", other);
    c.store_outage = false;
    c.store.extend_leases(c.now());
    c.run(5);
}

TEST(Golden, AnswersBesideAnEarlierVersion) {
    Golden g("http_earlier");
    ClusterOptions options;
    options.record_format = 1;
    ClusterSimulator c("golden_http_earlier", 3, options);
    Asked a(c, g);
    a.ask(0, "GET", "/up");
    a.submit("Crew", "\"team\"");
    c.run(5);
    a.ask(0, "GET", "/up");
    a.put("first", c.submit(0, "j-1"));
    a.submit("WaitsOn", "[\"j-1\"]");
}

class Silent : public net::Client {
   public:
    net::awaitable<std::optional<net::Reply>> request(std::string, std::string, std::string,
                                                      double) override {
        co_return std::nullopt;
    }
};

TEST(Golden, AnswersToPeers) {
    Golden g("http_peers");
    net::Clock::simulated_now = net::Clock::time_point(net::seconds(1000));
    {
        net::asio::io_context io;
        auto config = settings();
        config.store_endpoint = {"state", 1}, config.cloud_endpoint = {"cloud", 1};
        config.public_endpoint = config.peer_endpoint = {"127.0.0.1", 1};
        config.peers = {{"c-1", "a", {"peer", 1}}};
        const config::Tuning tuning;
        controller::Controller node(
            io, config, tuning, [](const config::Endpoint&) { return std::make_unique<Silent>(); }, 1);
        const auto ask = [&](const std::string& method, const std::string& target, const std::string& body) {
            std::optional<net::Reply> reply;
            net::Request request{method, target, body};
            net::asio::co_spawn(
                io,
                [](controller::Controller& to, net::Request r,
                   std::optional<net::Reply>& into) -> net::awaitable<void> {
                    into = co_await to.handle_peer_request(std::move(r));
                }(node, std::move(request), reply),
                net::asio::detached);
            io.restart();
            while (!reply && io.poll() > 0) {
            }
            const std::string answer =
                reply ? std::to_string(reply->status) + " " + hex(reply->body) : std::string("none");
            g.put(method + " " + target + " " + hex(body), answer);
        };
        for (const auto* method : {"GET", "POST", "PUT"})
            for (const auto* target : {"/gossip", "/gossip?x=1", "/", "/submissions"})
                ask(method, target, "");
        ask("POST", "/gossip", "garbage");
        for (const auto& message : sample_messages())
            ask("POST", "/gossip", wire::encode_peer_message(message));
    }
    net::Clock::simulated_now.reset();
}

TEST(Golden, RowsOfAStory) {
    Golden g("rows");
    ClusterOptions options;
    options.adjust_settings = [](config::Settings& s) { s.value_kb = s.current_value_kb = 2; };
    ClusterSimulator c("golden_rows", 3, options);
    c.workers.cloud_capacity = 6;
    c.workers.task_run_s["j-array/0"] = c.workers.task_run_s["j-first/0"] = 5;
    c.run(8);
    g.section("at the start");
    put_rows(g, c.store.rows());
    const json::object small{{"Vcpus", 0.5}, {"Accelerators", 0}, {"MemGb", 0.5}};
    auto array = small, large = small, gang = small;
    array["Pieces"] = 3;
    large["Pieces"] = 120;
    gang["Pieces"] = 2, gang["Shape"] = "group", gang["DueS"] = 500, gang["Breeds"] = json::array{"g4"};
    c.submit(0, "j-first");
    c.submit(0, "j-array", array);
    c.submit(1, "j-gang", gang);
    c.submit(2, "j-large", large);
    c.submit(2, "j-waits", {{"WaitsOn", json::array{"j-array", "j-gang"}}});
    json::array before;
    for (int i = 0; i < 60; ++i) {
        const std::string id = "j-abcdefghijklmnopqrstuvwxyz" + std::to_string(i);
        c.workers.invariants.record_submission(
            {{"NameId", id}, {"Crew", "team"}, {"Pieces", 1}, {"Accelerators", 1}});
        c.store.put_job(array_job(id, 1), c.now());
        before.emplace_back(id);
    }
    c.run(2);
    c.submit(0, "j-list", {{"WaitsOn", before}});
    c.run(2);
    g.section("accepted");
    put_rows(g, c.store.rows());
    c.run(60);
    g.section("running");
    put_rows(g, c.store.rows());
    c.cancel(0, "j-large");
    c.cancel(1, "j-gang");
    c.cancel(1, "j-list");
    c.run(30);
    g.section("cancelled");
    put_rows(g, c.store.rows());
}

// --- transactions of a term
// ----------------------------------------------------------------------------------

class Story : public LeaderSimulator {
   public:
    Story(const std::string& name, Golden& golden) : LeaderSimulator(name), golden_(golden) {}
    void commit_and_print() {
        for (int i = 0; i < 50; ++i) {
            const auto batch = next_write_batch();
            if (!batch) return;
            golden_.put("transaction", wire::commit_request(batch->txn));
            apply_batch(*batch);
        }
    }
    void meet_and_start(const std::string& machine) {
        golden_.put("answer to " + machine,
                    wire::heartbeat_response(leader_state().fencing_token(), send_heartbeat(machine)));
    }
    // Two seconds on: a plan, what it writes, rents and tells the workers.
    void step() {
        advance(2);
        plan();
        for (const auto& rental : provision_machines())
            golden_.put("rental", wire::provisioning_request(rental));
        commit_and_print();
        for (const auto& [id, w] : workers) meet_and_start(id);
        commit_and_print();
    }
    void set_all(model::TaskState state, model::ExitCause cause = model::ExitCause::none) {
        for (auto& [id, w] : workers)
            for (auto& t : w.tasks)
                if (t.state != model::TaskState::exited) t.state = state, t.cause = cause;
    }

   private:
    Golden& golden_;
};

TEST(Golden, TransactionsOfAStory) {
    Golden g("transactions");
    Story w("golden_transactions", g);
    w.begin_term();
    w.add_worker("m-a"), w.add_worker("m-b", "g4", "b"), w.add_worker("m-c", "g2", "a", true);
    for (const auto* id : {"m-a", "m-b", "m-c"}) w.synchronize_worker(id);
    g.section("array, gang and a job that waits");
    w.submit(array_job("j-array", 3));
    w.submit(gang_job("j-gang", 2));
    auto waits = array_job("j-waits", 1);
    waits.dependencies = {"j-array"};
    w.submit(waits);
    for (int i = 0; i < 2; ++i) w.step();
    g.section("running");
    w.set_all(model::TaskState::running);
    for (int i = 0; i < 2; ++i) w.step();
    g.section("ends");
    w.set_task_state("j-array/0", model::TaskState::exited, model::ExitCause::done);
    w.step();
    w.set_all(model::TaskState::exited, model::ExitCause::done);
    for (int i = 0; i < 3; ++i) w.step();
    g.section("cancelled");
    w.submit(array_job("j-cancelled", 2));
    w.step();
    w.cancel("j-cancelled");
    for (int i = 0; i < 3; ++i) w.step();
    g.section("a new term");
    w.submit(array_job("j-late", 2));
    w.step();
    w.begin_term();
    for (int i = 0; i < 3; ++i) w.step();
}

TEST(Golden, TransactionsOfALargeJob) {
    Golden g("transactions_large");
    Story w("golden_transactions_large", g);
    w.config.value_kb = w.config.current_value_kb = 2;
    w.sharding_allowed = true;
    w.begin_term();
    for (int i = 0; i < 40; ++i)
        w.synchronize_worker((w.add_worker("m-" + std::to_string(10 + i)), "m-" + std::to_string(10 + i)));
    w.submit(array_job("j-large", 150));
    for (int i = 0; i < 2; ++i) w.step();
    w.set_all(model::TaskState::running);
    w.step();
    for (const int i : {0, 7, 100})
        w.set_task_state("j-large/" + std::to_string(i), model::TaskState::exited, model::ExitCause::done);
    for (int i = 0; i < 3; ++i) w.step();
    w.set_all(model::TaskState::exited, model::ExitCause::done);
    for (int i = 0; i < 4; ++i) w.step();
}

// Last, since it needs a file that the others write.
TEST(Golden, ADifferentByteFails) {
    EXPECT_NONFATAL_FAILURE(compare_golden("users", "text"), "differs");
}

}  // namespace
}  // namespace pineroad::test
