#include "wire/protocol.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <cctype>
#include <set>

#include "config/constants.hpp"
#include "wire/json_reader.hpp"

namespace pineroad::wire {
namespace {

namespace json = boost::json;
using namespace read;

template <class E>
struct Word {
    std::string_view word;
    E value;
};
constexpr Word<model::Shape> shapes[] = {
    {"batch", model::Shape::array}, {"group", model::Shape::gang}, {"standing", model::Shape::service}};
constexpr Word<model::Priority> priorities[] = {{"production", model::Priority::production},
                                                {"high", model::Priority::high},
                                                {"standard", model::Priority::normal},
                                                {"best_effort", model::Priority::low}};
constexpr Word<model::TaskState> task_states[] = {{"fetching", model::TaskState::fetching},
                                                  {"waiting", model::TaskState::waiting_for_gang},
                                                  {"running", model::TaskState::running},
                                                  {"saving", model::TaskState::checkpointing},
                                                  {"ended", model::TaskState::exited}};
constexpr Word<model::ExitCause> causes[] = {{"done", model::ExitCause::done},
                                             {"stopped", model::ExitCause::stopped},
                                             {"mates_gone", model::ExitCause::gang_member_lost},
                                             {"alone", model::ExitCause::gang_incomplete},
                                             {"error", model::ExitCause::error},
                                             {"full", model::ExitCause::insufficient_resources},
                                             {"busy", model::ExitCause::already_running},
                                             {"unknown", model::ExitCause::unknown_task}};
constexpr Word<model::Command::Kind> verbs[] = {{"start", model::Command::Kind::start},
                                                {"stop", model::Command::Kind::stop},
                                                {"reap", model::Command::Kind::forget}};
constexpr Word<model::MachineStatus> statuses[] = {{"booting", model::MachineStatus::booting},
                                                   {"running", model::MachineStatus::running},
                                                   {"failed", model::MachineStatus::failed}};
constexpr Word<JobStatus> job_states[] = {{"queued", JobStatus::queued},
                                          {"running", JobStatus::running},
                                          {"done", JobStatus::done},
                                          {"withdrawn", JobStatus::cancelled}};

template <class E, std::size_t N>
std::optional<E> lookup(const Word<E> (&table)[N], const std::optional<std::string>& word) {
    if (word)
        for (const auto& w : table)
            if (w.word == *word) return w.value;
    return std::nullopt;
}
template <class E, std::size_t N>
std::string_view word_of(const Word<E> (&table)[N], E value) {
    for (const auto& w : table)
        if (w.value == value) return w.word;
    return {};
}

std::string task_name(const model::TaskId& t) {
    return t.job + "/" + std::to_string(t.index);
}

std::optional<model::TaskId> parse_task(const std::optional<std::string>& name) {
    if (!name) return std::nullopt;
    const auto slash = name->find('/');
    if (slash == std::string::npos || !valid_job_id(std::string_view(*name).substr(0, slash)))
        return std::nullopt;
    const auto digits = std::string_view(*name).substr(slash + 1);
    if (digits.empty() || digits.size() > 6 ||
        !std::all_of(digits.begin(), digits.end(), [](unsigned char c) { return std::isdigit(c); }))
        return std::nullopt;
    const auto index = std::stoul(std::string(digits));
    if (index >= constants::max_tasks) return std::nullopt;
    return model::TaskId{name->substr(0, slash), static_cast<std::uint32_t>(index)};
}

std::optional<json::object> parse_object(std::string_view body) {
    auto doc = parse_json(body);
    if (!doc || !doc->is_object()) return std::nullopt;
    return std::move(doc->get_object());
}

json::array commands_json(const std::vector<model::Command>& commands) {
    json::array out;
    for (const auto& o : commands) {
        json::object j{{"Verb", word_of(verbs, o.kind)}, {"Piece", task_name(o.task)}, {"Try", o.attempt}};
        if (o.kind == model::Command::Kind::stop) j["LeewayS"] = o.grace_s;
        out.push_back(std::move(j));
    }
    return out;
}

std::string escape(std::string_view text) {  // for query values; our keys and machine names hardly need it
    static constexpr char hex[] = "0123456789ABCDEF";
    std::string out;
    for (const unsigned char c : text) {
        if (std::isalnum(c) || c == '-' || c == '_' || c == '.' || c == '/' || c == '~') {
            out += static_cast<char>(c);
        } else {
            out += '%';
            out += hex[c >> 4];
            out += hex[c & 15];
        }
    }
    return out;
}

}  // namespace

std::optional<Json> parse_json(std::string_view text) {
    boost::system::error_code ec;
    auto v = json::parse({text.data(), text.size()}, ec);
    if (ec) return std::nullopt;
    return v;
}

bool valid_job_id(std::string_view id) {
    return id.size() > 2 && id.size() <= 40 && id.substr(0, 2) == "j-" &&
           std::all_of(id.begin() + 2, id.end(), [](unsigned char c) { return std::isalnum(c); });
}

namespace {
// Names of jobs, each once; nothing if it is no list of valid names.
std::optional<std::vector<std::string>> parse_dependencies(const Json& value) {
    const auto* list = value.if_array();
    if (!list) return std::nullopt;
    std::vector<std::string> out;
    std::set<std::string> seen;
    for (const auto& item : *list) {
        if (!item.is_string()) return std::nullopt;
        std::string id(item.get_string());
        if (!valid_job_id(id)) return std::nullopt;
        if (seen.insert(id).second) out.push_back(std::move(id));
    }
    return out;
}
}  // namespace

std::variant<model::JobSpec, std::string> parse_submission(std::string_view body) {
    const auto doc = parse_json(body);
    if (!doc) return std::string("not JSON");
    const auto* o = doc->if_object();
    if (!o) return std::string("not an object");
    model::JobSpec s;
    std::string bad;
    auto wrong = [&](std::string_view key) {
        if (bad.empty()) bad = std::string(key) + " is missing or invalid";
    };
    auto get_text = [&](std::string_view key, std::string& into) {
        auto v = text(*o, key);
        if (!v || v->empty() || v->size() > constants::max_text) return wrong(key);
        into = std::move(*v);
    };
    auto get_amount = [&](std::string_view key, double& into) {
        auto v = number(*o, key);
        if (!v || *v < 0) return wrong(key);
        into = *v;
    };
    auto get_flag = [&](std::string_view key, bool& into) {
        auto v = flag(*o, key);
        if (!v) return wrong(key);
        into = *v;
    };
    get_text("NameId", s.id);
    if (bad.empty() && !valid_job_id(s.id)) wrong("NameId");
    get_text("Jobclass", s.job_class);
    get_text("Crew", s.team);
    if (auto v = lookup(shapes, text(*o, "Shape")))
        s.shape = *v;
    else
        wrong("Shape");
    if (auto v = lookup(priorities, text(*o, "Urgency")))
        s.priority = *v;
    else
        wrong("Urgency");
    if (auto v = count(*o, "Pieces"); v && *v >= 1 && *v <= constants::max_tasks)
        s.task_count = static_cast<std::uint32_t>(*v);
    else
        wrong("Pieces");
    get_amount("Vcpus", s.task_resources.cpus);
    get_amount("Accelerators", s.task_resources.gpus);
    get_amount("MemGb", s.task_resources.memory_gb);
    get_text("Bundle", s.image);
    get_amount("SizeGb", s.image_gb);
    if (const auto* v = field(*o, "Breeds")) {
        const auto* list = v->if_array();
        if (!list || list->size() > constants::max_list) {
            wrong("Breeds");
        } else {
            s.allowed_machine_types.emplace();
            for (const auto& t : *list) {
                if (!t.is_string() || t.get_string().empty() || t.get_string().size() > constants::max_text)
                    wrong("Breeds");
                else
                    s.allowed_machine_types->emplace_back(t.get_string());
            }
        }
    }
    if (field(*o, "Yard")) {
        s.zone.emplace();
        get_text("Yard", *s.zone);
    }
    get_flag("Together", s.same_zone);
    get_flag("Spread", s.spread);
    get_flag("Loaners", s.allows_spot);
    get_amount("GuessS", s.estimate_s);
    get_amount("NotchS", s.checkpoint_interval_s);
    get_amount("StashS", s.checkpoint_save_s);
    if (field(*o, "DueS")) {
        s.deadline_s.emplace();
        get_amount("DueS", *s.deadline_s);
    }
    if (const auto* v = field(*o, "WaitsOn")) {
        if (auto list = parse_dependencies(*v))
            s.dependencies = std::move(*list);
        else
            wrong("WaitsOn");
    }
    if (!bad.empty()) return bad;
    return s;
}

std::string job_status_response(std::string_view id, JobStatus state,
                                std::optional<std::pair<std::uint64_t, std::uint64_t>> counts) {
    json::object o{{"NameId", id}, {"Status", word_of(job_states, state)}};
    if (counts) {
        o["done"] = counts->first;
        o["running"] = counts->second;
    }
    return json::serialize(o);
}

std::string error_response(std::string_view reason) {
    return json::serialize(json::object{{"error", reason}});
}

std::variant<model::Heartbeat, std::string> parse_heartbeat(std::string_view body) {
    auto o = parse_object(body);
    if (!o) return std::string("not a JSON object");
    model::Heartbeat r;
    auto host = text(*o, "Host"), address = text(*o, "Address"), breed = text(*o, "Breed"),
         yard = text(*o, "Yard");
    auto spot = flag(*o, "Loaners");
    auto stint = count(*o, "Stint"), sequence = count(*o, "Tick"), baton = count(*o, "Baton");
    if (!host || host->empty() || host->size() > constants::max_text)
        return std::string("Host is missing or invalid");
    if (!address || !breed || !yard || !spot || !stint || !sequence || !baton)
        return std::string("a field is missing or invalid");
    r.machine = std::move(*host), r.address = std::move(*address), r.type = std::move(*breed),
    r.zone = std::move(*yard);
    r.spot = *spot, r.agent_epoch = *stint, r.sequence = *sequence, r.fencing_token = *baton;
    r.interruption_notice_s = number(*o, "WarningS");
    if (const auto* v = field(*o, "Pieces")) {
        if (!v->is_array()) return std::string("Pieces is invalid");
        for (const auto& item : v->get_array()) {
            const auto* p = item.if_object();
            if (!p) return std::string("Pieces is invalid");
            auto task = parse_task(text(*p, "Piece"));
            auto attempt = count(*p, "Try");
            auto state = lookup(task_states, text(*p, "Status"));
            if (!task || !attempt || !state) return std::string("Pieces is invalid");
            model::ReportedTask t{std::move(*task), *attempt, *state, model::ExitCause::none, false};
            if (*state == model::TaskState::exited)
                t.cause = lookup(causes, text(*p, "Cause")).value_or(model::ExitCause::error);
            t.saved = flag(*p, "Saved").value_or(false);
            r.tasks.push_back(std::move(t));
        }
    } else {
        return std::string("Pieces is missing");
    }
    return r;
}

std::string heartbeat_response(std::uint64_t fencing_token, const std::vector<model::Command>& commands) {
    return json::serialize(json::object{{"Baton", fencing_token}, {"Orders", commands_json(commands)}});
}

std::string direct_command_request(std::uint64_t fencing_token, std::uint64_t agent_epoch,
                                   const std::vector<model::Command>& commands) {
    return json::serialize(
        json::object{{"Baton", fencing_token}, {"Stint", agent_epoch}, {"Orders", commands_json(commands)}});
}

std::string redirect_response(std::string_view leader) {
    json::object o;
    if (!leader.empty()) o["Foreman"] = leader;
    return json::serialize(o);
}

std::optional<std::vector<model::MachineType>> parse_machine_types(const Json& doc) {
    const auto* o = doc.if_object();
    const auto* list = o ? field(*o, "Breeds") : nullptr;
    if (!list || !list->is_array()) return std::nullopt;
    std::vector<model::MachineType> out;
    for (const auto& item : list->get_array()) {
        const auto* t = item.if_object();
        if (!t) return std::nullopt;
        auto name = text(*t, "Name");
        auto cpus = number(*t, "Vcpus"), gpus = number(*t, "Accelerators"), mem = number(*t, "MemGb");
        const auto* zones = field(*t, "Yards");
        if (!name || !cpus || !gpus || !mem || !zones || !zones->is_array()) return std::nullopt;
        model::MachineType m;
        m.name = *name;
        m.capacity = {*cpus, *gpus, *mem};
        m.cache_gb = number(*t, "CacheGb").value_or(0);
        m.fetch_gb_per_s = number(*t, "PullGbPerS").value_or(1);
        m.price = number(*t, "Hourly").value_or(1);
        m.spot_price = number(*t, "MarketPrice").value_or(m.price);
        m.boot_s = number(*t, "StartupS").value_or(60);
        for (const auto& z : zones->get_array()) {
            if (!z.is_string()) return std::nullopt;
            m.zones.emplace_back(z.get_string());
        }
        out.push_back(std::move(m));
    }
    return out;
}

Json machine_types_json(const std::vector<model::MachineType>& types) {
    json::array list;
    for (const auto& t : types) {
        json::array zones;
        for (const auto& z : t.zones) zones.emplace_back(z);
        list.push_back(json::object{{"Name", t.name},
                                    {"Vcpus", t.capacity.cpus},
                                    {"Accelerators", t.capacity.gpus},
                                    {"MemGb", t.capacity.memory_gb},
                                    {"CacheGb", t.cache_gb},
                                    {"PullGbPerS", t.fetch_gb_per_s},
                                    {"Hourly", t.price},
                                    {"MarketPrice", t.spot_price},
                                    {"StartupS", t.boot_s},
                                    {"Yards", zones}});
    }
    return json::object{{"Breeds", list}};
}

std::string provisioning_request(const model::ProvisioningRequest& r) {
    return json::serialize(json::object{
        {"Hire", r.name}, {"Breed", r.type}, {"Yard", r.zone}, {"Loaners", r.spot}, {"Count", r.count}});
}

std::optional<std::vector<std::string>> parse_provisioned_machines(std::string_view body) {
    auto o = parse_object(body);
    const auto* list = o ? field(*o, "Hosts") : nullptr;
    if (!list || !list->is_array()) return std::nullopt;
    std::vector<std::string> out;
    for (const auto& h : list->get_array()) {
        if (!h.is_string()) return std::nullopt;
        out.emplace_back(h.get_string());
    }
    return out;
}

std::string release_request(const std::vector<std::string>& machines) {
    json::array list;
    for (const auto& m : machines) list.emplace_back(m);
    return json::serialize(json::object{{"Hosts", list}});
}

std::string machine_list_target(std::string_view after, int page) {
    std::string out = std::string(machines_path) + "?Page=" + std::to_string(page);
    if (!after.empty()) out += "&Since=" + escape(after);
    return out;
}

std::optional<MachineList> parse_machine_list(std::string_view body) {
    auto o = parse_object(body);
    const auto* list = o ? field(*o, "Hosts") : nullptr;
    if (!list || !list->is_array()) return std::nullopt;
    MachineList out;
    out.truncated = flag(*o, "Truncated").value_or(false);
    for (const auto& item : list->get_array()) {
        const auto* m = item.if_object();
        if (!m) return std::nullopt;
        auto name = text(*m, "NameId"), breed = text(*m, "Breed"), yard = text(*m, "Yard");
        auto status = lookup(statuses, text(*m, "Status"));
        if (!name || !breed || !yard || !status) return std::nullopt;
        out.machines.push_back({*name, text(*m, "Address").value_or(""), *breed, *yard,
                                flag(*m, "Loaners").value_or(false), *status,
                                number(*m, "HeldS").value_or(0)});
    }
    return out;
}

std::string store_target(std::string_view key) {
    return "/store/" + std::string(key);
}

std::string list_store_target(std::string_view prefix, std::string_view after, int page) {
    std::string out = "/store?Under=" + escape(prefix) + "&Page=" + std::to_string(page);
    if (!after.empty()) out += "&Since=" + escape(after);
    return out;
}

std::string watch_target(std::string_view prefix, std::uint64_t since, int block_ms) {
    return "/follow?Under=" + escape(prefix) + "&Since=" + std::to_string(since) +
           "&BlockMs=" + std::to_string(block_ms);
}

std::string commit_request(const Transaction& txn) {
    json::array when, apply;
    for (const auto& c : txn.conditions)
        when.push_back(json::object{{"Key", c.key}, {"Stamp", c.mod_revision}});
    for (const auto& c : txn.changes) {
        if (!c.value) {
            apply.push_back(json::object{{"Drop", c.key}});
            continue;
        }
        json::object o{{"Write", c.key}, {"Value", *c.value}};
        if (c.lease) o["Permit"] = *c.lease;
        apply.push_back(std::move(o));
    }
    return json::serialize(json::object{{"When", std::move(when)}, {"Apply", std::move(apply)}});
}

std::optional<std::uint64_t> parse_revision(std::string_view body) {
    auto o = parse_object(body);
    return o ? count(*o, "Epoch") : std::nullopt;
}

std::vector<std::string> parse_failed_conditions(std::string_view body) {
    std::vector<std::string> out;
    auto o = parse_object(body);
    if (const auto* list = o ? field(*o, "failed") : nullptr; list && list->is_array())
        for (const auto& k : list->get_array())
            if (k.is_string()) out.emplace_back(k.get_string());
    return out;
}

std::optional<Row> parse_row(std::string_view body) {
    auto o = parse_object(body);
    if (!o) return std::nullopt;
    auto key = text(*o, "Key");
    auto mod_revision = count(*o, "Stamp");
    const auto* value = o->if_contains("Value");
    if (!key || !mod_revision || !value) return std::nullopt;
    return Row{std::move(*key), *value, *mod_revision};
}

std::optional<Rows> parse_rows(std::string_view body) {
    auto o = parse_object(body);
    const auto* list = o ? field(*o, "Rows") : nullptr;
    auto revision = o ? count(*o, "Epoch") : std::nullopt;
    if (!list || !list->is_array() || !revision) return std::nullopt;
    Rows out;
    out.revision = *revision;
    out.truncated = flag(*o, "Truncated").value_or(false);
    for (const auto& item : list->get_array()) {
        const auto* r = item.if_object();
        if (!r) return std::nullopt;
        auto key = text(*r, "Key");
        auto mod_revision = count(*r, "Stamp");
        const auto* value = r->if_contains("Value");
        if (!key || !mod_revision || !value) return std::nullopt;
        out.rows.push_back({std::move(*key), *value, *mod_revision});
    }
    return out;
}

std::optional<WatchEvents> parse_watch_events(std::string_view body) {
    auto o = parse_object(body);
    auto revision = o ? count(*o, "Epoch") : std::nullopt;
    if (!revision) return std::nullopt;
    WatchEvents out;
    out.revision = *revision;
    const auto* list = field(*o, "Events");
    if (!list) return out;
    if (!list->is_array()) return std::nullopt;
    for (const auto& item : list->get_array()) {
        const auto* e = item.if_object();
        auto mod_revision = e ? count(*e, "Stamp") : std::nullopt;
        if (!mod_revision) return std::nullopt;
        if (auto key = text(*e, "Write")) {
            const auto* value = e->if_contains("Value");
            if (!value) return std::nullopt;
            out.events.push_back({std::move(*key), *value, *mod_revision});
        } else if (auto dropped = text(*e, "Drop")) {
            out.events.push_back({std::move(*dropped), std::nullopt, *mod_revision});
        } else {
            return std::nullopt;
        }
    }
    return out;
}

std::string lease_request(int ttl_ms) {
    return json::serialize(json::object{{"TtlMs", ttl_ms}});
}

std::optional<std::uint64_t> parse_lease(std::string_view body) {
    auto o = parse_object(body);
    return o ? count(*o, "Permit") : std::nullopt;
}

std::string renew_lease_target(std::uint64_t lease) {
    return lease_target(lease) + "/touch";
}
std::string lease_target(std::uint64_t lease) {
    return "/leases/" + std::to_string(lease);
}

}  // namespace pineroad::wire
