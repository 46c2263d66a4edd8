// The rentals of a term: those that are open stand by name in one record of the state service, written before
// any of them is asked for; and what the cloud lately refused.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "control/mirror.hpp"
#include "model/model.hpp"
#include "sched/picture.hpp"

namespace pineroad::control {

class Rentals {
   public:
    explicit Rentals(std::uint64_t token) : token_(token) {}
    // Of earlier terms, to be asked again under their names: each rents only once.
    void load(const Mirror& mirror);

    void want(const sched::Rent& rent);
    // Those that are not answered: room on its way.
    [[nodiscard]] std::vector<model::Rental> open() const;
    [[nodiscard]] bool refused(const sched::Pool& pool, double now) const;

    // --- the record ---
    struct Record {
        wire::Json value;
        std::uint64_t stamp = 0;  // of the record that it replaces
        std::size_t bytes = 0;
        std::vector<std::string> open, answered;  // by name: those in it, those no longer in it
        // Records of a rental each, from version 0.2: they go with their answers.
        std::vector<std::pair<std::string, std::uint64_t>> single;  // key and version
    };
    // As much as fits into so many bytes; nothing when the present one says it all.
    [[nodiscard]] std::optional<Record> record(double bytes) const;
    void committed(const Record& record, std::uint64_t epoch);

    // --- the cloud ---
    [[nodiscard]] bool waiting() const;   // one is durable and not asked for
    std::optional<model::Rental> next();  // the next of these
    // What was rented under the name, or nothing if it is not known.
    std::optional<model::Rental> answered(const std::string& name, std::size_t machines, double now);
    void refuse(const std::string& name, double now);
    void unanswered(const std::string& name);

   private:
    struct State {
        model::Rental rental;
        std::uint64_t single_stamp = 0;  // of a record of its own
        bool durable = false, answered = false, inflight = false;
        bool sent = true;  // a call of its name may have been made
        [[nodiscard]] bool waits() const { return durable && !answered && !inflight; }
    };
    struct Refusal {
        double until = 0, pause = 0;
    };
    using Pool = std::tuple<std::string, std::string, bool>;  // type, zone, spot
    static Pool pool_of(const model::Rental& r) { return {r.type, r.zone, r.spot}; }
    void drop_unsent(const model::Rental& refused);

    std::uint64_t token_, count_ = 0, stamp_ = 0;
    std::map<std::string, State> all_;
    std::map<Pool, Refusal> refused_;
};

}  // namespace pineroad::control
