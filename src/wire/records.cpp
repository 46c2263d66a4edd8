#include "wire/records.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>
#include <set>

#include "wire/json_reader.hpp"

namespace pineroad::wire::records {
namespace {
namespace json = boost::json;
using namespace read;

json::array resources_json(const model::Resources& r) {
    return {r.cpus, r.gpus, r.memory_gb};
}
std::optional<model::Resources> parse_resources(const json::object& o, std::string_view key) {
    const auto* v = field(o, key);
    if (!v || !v->is_array() || v->get_array().size() != 3) return std::nullopt;
    const auto& a = v->get_array();
    auto c = number(&a[0]), g = number(&a[1]), m = number(&a[2]);
    if (!c || !g || !m) return std::nullopt;
    return model::Resources{*c, *g, *m};
}
}  // namespace

std::string job_key(std::string_view id) {
    return std::string(job_prefix).append(id);
}
std::string progress_key(std::string_view id) {
    return std::string(progress_prefix).append(id);
}
std::string segment_key(std::string_view name) {
    return std::string(segment_prefix).append(name);
}
std::string provisioning_request_key(std::string_view name) {
    return std::string(provisioning_request_prefix).append(name);
}
std::string outcome_key(std::string_view id) {
    return std::string(outcome_prefix).append(id);
}

std::string dependencies_key(std::string_view id, std::uint32_t number) {
    return std::string(dependencies_prefix).append(id) + "/" + std::to_string(number);
}

std::optional<std::string> under(std::string_view key, std::string_view prefix) {
    if (key.substr(0, prefix.size()) != prefix) return std::nullopt;
    return std::string(key.substr(prefix.size()));
}

Json leader_json(const Leader& l) {
    return json::object{{"node", l.node}, {"token", l.fencing_token}, {"lease", l.lease}, {"nonce", l.nonce}};
}
std::optional<Leader> parse_leader(const Json& v) {
    const auto* o = v.if_object();
    if (!o) return std::nullopt;
    auto node = text(*o, "node");
    auto fencing_token = count(*o, "token"), lease = count(*o, "lease"), nonce = count(*o, "nonce");
    if (!node || !fencing_token || !lease || !nonce) return std::nullopt;
    return Leader{*node, *fencing_token, *lease, *nonce};
}

Json term_json(std::uint64_t fencing_token) {
    return json::object{{"token", fencing_token}};
}
std::optional<std::uint64_t> parse_term(const Json& v) {
    const auto* o = v.if_object();
    return o ? count(*o, "token") : std::nullopt;
}

Json format_json(const std::set<std::string>& controllers) {
    json::array list;
    for (const auto& name : controllers) list.emplace_back(name);
    return json::object{{"format", format}, {"controllers", std::move(list)}};
}
std::optional<std::set<std::string>> parse_format(const Json& v) {
    const auto* o = v.if_object();
    const auto* list = o ? field(*o, "controllers") : nullptr;
    if (!list || !list->is_array() || count(*o, "format").value_or(0) < format) return std::nullopt;
    std::set<std::string> out;
    for (const auto& name : list->get_array())
        if (name.is_string()) out.emplace(name.get_string());
    return out;
}

namespace {
// Names in one string, parted by blanks and without the prefix that all share: a record holds twice as many
// of these as of an array.
constexpr std::string_view id_prefix = "j-";

std::string join_ids(const std::vector<std::string>& ids, std::size_t first, std::size_t last) {
    std::string out;
    for (std::size_t i = first; i < last; ++i) {
        if (!out.empty()) out += ' ';
        out += ids[i].substr(id_prefix.size());
    }
    return out;
}

std::vector<std::string> split_ids(std::string_view text) {
    std::vector<std::string> out;
    while (!text.empty()) {
        const auto end = std::min(text.find(' '), text.size());
        if (end > 0) out.push_back(std::string(id_prefix).append(text.substr(0, end)));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return out;
}

// How many names from the first on fit into so many bytes.
std::size_t ids_that_fit(const std::vector<std::string>& ids, std::size_t first, std::size_t bytes) {
    std::size_t last = first, used = 0;
    while (last < ids.size() && used + ids[last].size() - id_prefix.size() + 1 <= bytes)
        used += ids[last++].size() - id_prefix.size() + 1;
    return last;
}
}  // namespace

std::optional<JobRecords> job_records(const model::JobSpec& s, std::size_t value_bytes,
                                      std::size_t most_dependency_records) {
    model::JobSpec spec = s;
    spec.dependencies.clear();
    spec.dependency_records = static_cast<std::uint32_t>(most_dependency_records);
    constexpr std::size_t frame = 16;  // of a list: its key, quotes and separators
    const auto own = json::serialize(job_json(spec)).size() + frame;
    if (own > value_bytes) return std::nullopt;
    std::size_t at = ids_that_fit(s.dependencies, 0, value_bytes - own);
    const auto in_job = at;
    JobRecords out;
    while (at < s.dependencies.size()) {
        const auto last = ids_that_fit(s.dependencies, at, value_bytes - frame);
        if (last == at || out.dependencies.size() == most_dependency_records) return std::nullopt;
        out.dependencies.push_back(json::object{{"after", join_ids(s.dependencies, at, last)}});
        at = last;
    }
    spec.dependencies.assign(s.dependencies.begin(),
                             s.dependencies.begin() + static_cast<std::ptrdiff_t>(in_job));
    spec.dependency_records = static_cast<std::uint32_t>(out.dependencies.size());
    out.job = job_json(spec);
    return out;
}

std::optional<std::vector<std::string>> parse_dependencies(const Json& v) {
    const auto* o = v.if_object();
    const auto list = o ? text(*o, "after") : std::nullopt;
    if (!list) return std::nullopt;
    return split_ids(*list);
}

Json job_json(const model::JobSpec& s) {
    json::object o{{"class", s.job_class},
                   {"team", s.team},
                   {"image", s.image},
                   {"shape", static_cast<int>(s.shape)},
                   {"prio", static_cast<int>(s.priority)},
                   {"tasks", s.task_count},
                   {"need", resources_json(s.task_resources)},
                   {"gb", s.image_gb},
                   {"one_zone", s.same_zone},
                   {"spread", s.spread},
                   {"spot", s.allows_spot},
                   {"est", s.estimate_s},
                   {"ckpt", s.checkpoint_interval_s},
                   {"save", s.checkpoint_save_s},
                   {"at", s.accepted_ms}};
    if (s.allowed_machine_types) {
        json::array list;
        for (const auto& t : *s.allowed_machine_types) list.emplace_back(t);
        o["types"] = std::move(list);
    }
    if (s.zone) o["zone"] = *s.zone;
    if (s.deadline_s) o["due"] = *s.deadline_s;
    if (!s.dependencies.empty()) o["after"] = join_ids(s.dependencies, 0, s.dependencies.size());
    if (s.dependency_records > 0) o["more"] = s.dependency_records;
    return o;
}

std::optional<model::JobSpec> parse_job(const std::string& id, const Json& v) {
    const auto* o = v.if_object();
    if (!o) return std::nullopt;
    auto cls = text(*o, "class"), team = text(*o, "team"), image = text(*o, "image");
    auto prio = count(*o, "prio"), tasks = count(*o, "tasks"), at = count(*o, "at");
    auto task_resources = parse_resources(*o, "need");
    if (!cls || !team || !image || !prio || *prio > 3 || !tasks || !at || !task_resources)
        return std::nullopt;
    model::JobSpec s;
    s.id = id, s.job_class = *cls, s.team = *team, s.image = *image;
    s.shape = static_cast<model::Shape>(std::min<std::uint64_t>(count(*o, "shape").value_or(0), 2));
    s.priority = static_cast<model::Priority>(*prio);
    s.task_count = static_cast<std::uint32_t>(*tasks);
    s.task_resources = *task_resources;
    s.image_gb = number(*o, "gb").value_or(0);
    s.same_zone = flag(*o, "one_zone").value_or(false);
    s.spread = flag(*o, "spread").value_or(false);
    s.allows_spot = flag(*o, "spot").value_or(false);
    s.estimate_s = number(*o, "est").value_or(0);
    s.checkpoint_interval_s = number(*o, "ckpt").value_or(0);
    s.checkpoint_save_s = number(*o, "save").value_or(0);
    s.accepted_ms = static_cast<std::int64_t>(*at);
    if (const auto* list = field(*o, "types"); list && list->is_array()) {
        s.allowed_machine_types.emplace();
        for (const auto& t : list->get_array())
            if (t.is_string()) s.allowed_machine_types->emplace_back(t.get_string());
    }
    s.zone = text(*o, "zone");
    s.deadline_s = number(*o, "due");
    if (const auto after = text(*o, "after")) s.dependencies = split_ids(*after);
    s.dependency_records = static_cast<std::uint32_t>(count(*o, "more").value_or(0));
    return s;
}

std::string entry_name(const EntryName& entry) {
    return entry.shard == 0 ? entry.job : entry.job + '#' + std::to_string(entry.shard);
}

std::optional<EntryName> parse_entry_name(std::string_view name) {
    const auto mark = name.find('#');
    if (mark == std::string_view::npos) return EntryName{std::string(name), 0};
    std::uint32_t shard = 0;
    const auto digits = name.substr(mark + 1);
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), shard);
    if (error != std::errc() || end != digits.data() + digits.size() || shard == 0) return std::nullopt;
    return EntryName{std::string(name.substr(0, mark)), shard};
}

Json progress_json(const model::Progress& p, std::uint32_t shard) {
    json::array done, placements;
    for (const auto& i : p.done) done.push_back(json::array{boost::icl::first(i), boost::icl::last(i)});
    for (const auto& x : p.placements) placements.push_back(json::array{x.index, x.attempt, x.machine});
    json::object out{{"d", std::move(done)}, {"r", std::move(placements)}, {"n", p.next_attempt}};
    if (p.partial) out["c"] = true;
    if (shard > 0) return out;
    out["s"] = p.checkpointed_run_s;
    out["w"] = resources_json(p.task_resources);
    out["t"] = p.team;
    return out;
}

std::optional<model::Progress> parse_progress(const Json& v) {
    const auto* o = v.if_object();
    if (!o) return std::nullopt;
    const auto *done = field(*o, "d"), *placed = field(*o, "r");
    auto next = count(*o, "n");
    auto task_resources = parse_resources(*o, "w");
    auto team = text(*o, "t");
    if (!done || !done->is_array() || !placed || !placed->is_array() || !next) return std::nullopt;
    model::Progress p;
    p.partial = flag(*o, "c").value_or(false);
    if (!p.partial && (!task_resources || !team)) return std::nullopt;
    for (const auto& i : done->get_array()) {
        const auto* a = i.if_array();
        if (!a || a->size() != 2) return std::nullopt;
        auto first = count(&(*a)[0]), last = count(&(*a)[1]);
        if (!first || !last) return std::nullopt;
        p.done += boost::icl::discrete_interval<std::uint32_t>::closed(static_cast<std::uint32_t>(*first),
                                                                       static_cast<std::uint32_t>(*last));
    }
    for (const auto& i : placed->get_array()) {
        const auto* a = i.if_array();
        if (!a || a->size() != 3 || !(*a)[2].is_string()) return std::nullopt;
        auto index = count(&(*a)[0]), attempt = count(&(*a)[1]);
        if (!index || !attempt) return std::nullopt;
        p.placements.push_back(
            {static_cast<std::uint32_t>(*index), *attempt, std::string((*a)[2].get_string())});
    }
    p.next_attempt = *next;
    p.checkpointed_run_s = number(*o, "s").value_or(0);
    p.task_resources = task_resources.value_or(model::Resources{});
    p.team = team.value_or("");
    return p;
}

Json segment_json(const Sequence& sequence, json::object jobs) {
    return json::object{{"n", json::array{sequence.first, sequence.second}}, {"jobs", std::move(jobs)}};
}
std::optional<Segment> parse_segment(const Json& v) {
    const auto* o = v.if_object();
    const auto* n = o ? field(*o, "n") : nullptr;
    const auto* jobs = o ? field(*o, "jobs") : nullptr;
    if (!n || !n->is_array() || n->get_array().size() != 2 || !jobs || !jobs->is_object())
        return std::nullopt;
    const auto term = count(&n->get_array()[0]), number = count(&n->get_array()[1]);
    if (!term || !number) return std::nullopt;
    Segment out{{*term, *number}, {}};
    for (const auto& [key, entry] : jobs->get_object()) {
        const auto name = parse_entry_name(std::string_view(key.data(), key.size()));
        if (!name) return std::nullopt;
        auto& p = out.entries[*name];
        if (entry.is_null()) continue;
        p = parse_progress(entry);
        if (!p) return std::nullopt;
    }
    return out;
}

Json provisioning_request_json(const model::ProvisioningRequest& r) {
    return json::object{{"type", r.type}, {"zone", r.zone}, {"spot", r.spot}, {"count", r.count}};
}
std::optional<model::ProvisioningRequest> parse_provisioning_request(const std::string& name, const Json& v) {
    const auto* o = v.if_object();
    if (!o) return std::nullopt;
    auto type = text(*o, "type"), zone = text(*o, "zone");
    auto spot = flag(*o, "spot");
    auto n = count(*o, "count");
    if (!type || !zone || !spot || !n) return std::nullopt;
    return model::ProvisioningRequest{name, *type, *zone, *spot, static_cast<std::uint32_t>(*n)};
}

Json provisioning_requests_json(const std::vector<model::ProvisioningRequest>& provisioning_requests) {
    json::object o;
    for (const auto& r : provisioning_requests) o[r.name] = provisioning_request_json(r);
    return o;
}
std::optional<std::vector<model::ProvisioningRequest>> parse_provisioning_requests(const Json& v) {
    const auto* o = v.if_object();
    if (!o) return std::nullopt;
    std::vector<model::ProvisioningRequest> out;
    for (const auto& [name, entry] : *o) {
        auto r = parse_provisioning_request(name, entry);
        if (!r) return std::nullopt;
        out.push_back(std::move(*r));
    }
    return out;
}

Json outcome_json(const model::JobOutcome& ending) {
    json::object out{{"f", ending.status == model::FinalStatus::done ? "done" : "cancelled"}};
    if (ending.ended_at_ms > 0) out["at"] = ending.ended_at_ms;
    return out;
}
std::optional<model::JobOutcome> parse_outcome(const Json& v) {
    const auto* o = v.if_object();
    auto f = o ? text(*o, "f") : std::nullopt;
    if (!f) return std::nullopt;
    const auto at = static_cast<std::int64_t>(count(*o, "at").value_or(0));
    return model::JobOutcome{*f == "done" ? model::FinalStatus::done : model::FinalStatus::cancelled, at};
}

Json category_averages_json(const model::CategoryAverages& m) {
    json::object o;
    for (const auto& [name, c] : m) o[name] = json::array{c.mean, c.count};
    return o;
}
model::CategoryAverages parse_category_averages(const Json& v) {
    model::CategoryAverages out;
    if (const auto* o = v.if_object())
        for (const auto& [name, c] : *o) {
            const auto* a = c.if_array();
            if (!a || a->size() != 2) continue;
            auto mean = number(&(*a)[0]);
            auto n = count(&(*a)[1]);
            if (mean && n) out[std::string(name)] = {*mean, *n};
        }
    return out;
}

}  // namespace pineroad::wire::records
