#include "wire/records.hpp"

#include <algorithm>
#include <boost/json.hpp>

#include "wire/read.hpp"

namespace pineroad::wire::records {
namespace {
namespace json = boost::json;
using namespace read;

json::array need_json(const model::Resources& r) {
    return {r.cpus, r.gpus, r.memory_gb};
}
std::optional<model::Resources> parse_need(const json::object& o, std::string_view key) {
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
std::string rental_key(std::string_view name) {
    return std::string(rental_prefix).append(name);
}
std::string final_key(std::string_view id) {
    return std::string(final_prefix).append(id);
}

std::optional<std::string> under(std::string_view key, std::string_view prefix) {
    if (key.substr(0, prefix.size()) != prefix) return std::nullopt;
    return std::string(key.substr(prefix.size()));
}

Json leader_json(const Leader& l) {
    return json::object{{"node", l.node}, {"token", l.token}, {"lease", l.lease}, {"nonce", l.nonce}};
}
std::optional<Leader> parse_leader(const Json& v) {
    const auto* o = v.if_object();
    if (!o) return std::nullopt;
    auto node = text(*o, "node");
    auto token = count(*o, "token"), lease = count(*o, "lease"), nonce = count(*o, "nonce");
    if (!node || !token || !lease || !nonce) return std::nullopt;
    return Leader{*node, *token, *lease, *nonce};
}

Json term_json(std::uint64_t token) {
    return json::object{{"token", token}};
}
std::optional<std::uint64_t> parse_term(const Json& v) {
    const auto* o = v.if_object();
    return o ? count(*o, "token") : std::nullopt;
}

Json job_json(const model::JobSpec& s) {
    json::object o{{"class", s.job_class},
                   {"team", s.team},
                   {"image", s.image},
                   {"shape", static_cast<int>(s.shape)},
                   {"prio", static_cast<int>(s.priority)},
                   {"tasks", s.tasks},
                   {"need", need_json(s.need)},
                   {"gb", s.image_gb},
                   {"one_zone", s.one_zone},
                   {"spread", s.spread},
                   {"spot", s.spot_ok},
                   {"est", s.estimate_s},
                   {"ckpt", s.checkpoint_s},
                   {"save", s.save_s},
                   {"at", s.accepted_ms}};
    if (s.types) {
        json::array list;
        for (const auto& t : *s.types) list.emplace_back(t);
        o["types"] = std::move(list);
    }
    if (s.zone) o["zone"] = *s.zone;
    if (s.deadline_s) o["due"] = *s.deadline_s;
    return o;
}

std::optional<model::JobSpec> parse_job(const std::string& id, const Json& v) {
    const auto* o = v.if_object();
    if (!o) return std::nullopt;
    auto cls = text(*o, "class"), team = text(*o, "team"), image = text(*o, "image");
    auto prio = count(*o, "prio"), tasks = count(*o, "tasks"), at = count(*o, "at");
    auto need = parse_need(*o, "need");
    if (!cls || !team || !image || !prio || *prio > 3 || !tasks || !at || !need) return std::nullopt;
    model::JobSpec s;
    s.id = id, s.job_class = *cls, s.team = *team, s.image = *image;
    s.shape = static_cast<model::Shape>(std::min<std::uint64_t>(count(*o, "shape").value_or(0), 2));
    s.priority = static_cast<model::Priority>(*prio);
    s.tasks = static_cast<std::uint32_t>(*tasks);
    s.need = *need;
    s.image_gb = number(*o, "gb").value_or(0);
    s.one_zone = flag(*o, "one_zone").value_or(false);
    s.spread = flag(*o, "spread").value_or(false);
    s.spot_ok = flag(*o, "spot").value_or(false);
    s.estimate_s = number(*o, "est").value_or(0);
    s.checkpoint_s = number(*o, "ckpt").value_or(0);
    s.save_s = number(*o, "save").value_or(0);
    s.accepted_ms = static_cast<std::int64_t>(*at);
    if (const auto* list = field(*o, "types"); list && list->is_array()) {
        s.types.emplace();
        for (const auto& t : list->get_array())
            if (t.is_string()) s.types->emplace_back(t.get_string());
    }
    s.zone = text(*o, "zone");
    s.deadline_s = number(*o, "due");
    return s;
}

Json progress_json(const model::Progress& p) {
    json::array done, placements;
    for (const auto& i : p.done) done.push_back(json::array{boost::icl::first(i), boost::icl::last(i)});
    for (const auto& x : p.placements) placements.push_back(json::array{x.piece, x.attempt, x.machine});
    return json::object{{"d", std::move(done)}, {"r", std::move(placements)}, {"n", p.next_attempt},
                        {"s", p.ran_s},         {"w", need_json(p.need)},     {"t", p.team}};
}

std::optional<model::Progress> parse_progress(const Json& v) {
    const auto* o = v.if_object();
    if (!o) return std::nullopt;
    const auto *done = field(*o, "d"), *placed = field(*o, "r");
    auto next = count(*o, "n");
    auto need = parse_need(*o, "w");
    auto team = text(*o, "t");
    if (!done || !done->is_array() || !placed || !placed->is_array() || !next || !need || !team)
        return std::nullopt;
    model::Progress p;
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
        auto piece = count(&(*a)[0]), attempt = count(&(*a)[1]);
        if (!piece || !attempt) return std::nullopt;
        p.placements.push_back(
            {static_cast<std::uint32_t>(*piece), *attempt, std::string((*a)[2].get_string())});
    }
    p.next_attempt = *next;
    p.ran_s = number(*o, "s").value_or(0);
    p.need = *need;
    p.team = *team;
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
    for (const auto& [id, entry] : jobs->get_object()) {
        auto& p = out.jobs[std::string(id)];
        if (entry.is_null()) continue;
        p = parse_progress(entry);
        if (!p) return std::nullopt;
    }
    return out;
}

Json rental_json(const model::Rental& r) {
    return json::object{{"type", r.type}, {"zone", r.zone}, {"spot", r.spot}, {"count", r.count}};
}
std::optional<model::Rental> parse_rental(const std::string& name, const Json& v) {
    const auto* o = v.if_object();
    if (!o) return std::nullopt;
    auto type = text(*o, "type"), zone = text(*o, "zone");
    auto spot = flag(*o, "spot");
    auto n = count(*o, "count");
    if (!type || !zone || !spot || !n) return std::nullopt;
    return model::Rental{name, *type, *zone, *spot, static_cast<std::uint32_t>(*n)};
}

Json rentals_json(const std::vector<model::Rental>& rentals) {
    json::object o;
    for (const auto& r : rentals) o[r.name] = rental_json(r);
    return o;
}
std::optional<std::vector<model::Rental>> parse_rentals(const Json& v) {
    const auto* o = v.if_object();
    if (!o) return std::nullopt;
    std::vector<model::Rental> out;
    for (const auto& [name, entry] : *o) {
        auto r = parse_rental(name, entry);
        if (!r) return std::nullopt;
        out.push_back(std::move(*r));
    }
    return out;
}

Json final_json(model::Final f) {
    return json::object{{"f", f == model::Final::done ? "done" : "cancelled"}};
}
std::optional<model::Final> parse_final(const Json& v) {
    const auto* o = v.if_object();
    auto f = o ? text(*o, "f") : std::nullopt;
    if (!f) return std::nullopt;
    return *f == "done" ? model::Final::done : model::Final::cancelled;
}

Json means_json(const model::CategoryMeans& m) {
    json::object o;
    for (const auto& [name, c] : m) o[name] = json::array{c.mean, c.count};
    return o;
}
model::CategoryMeans parse_means(const Json& v) {
    model::CategoryMeans out;
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
