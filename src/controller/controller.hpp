// One controller: its servers, its clients, and the loops that work out the difference between what is wanted
// and what is. node.cpp: mirror, mesh and start; lease.cpp: leadership; leader.cpp: the term's loops;
// users.cpp: users.
#pragma once

#include <boost/asio/io_context.hpp>
#include <deque>
#include <memory>
#include <random>
#include <set>

#include "config/constants.hpp"
#include "config/settings.hpp"
#include "config/tuning.hpp"
#include "control/book.hpp"
#include "control/event.hpp"
#include "control/mirror.hpp"
#include "control/proof.hpp"
#include "control/write_budget.hpp"
#include "net/http_client.hpp"
#include "net/http_server.hpp"
#include "net/sockets.hpp"
#include "wire/gossip.hpp"

namespace pineroad::control {

// A term this node holds. Loops keep a pointer and end when it is over.
struct Term {
    std::uint64_t token = 0, lease = 0, nonce = 0, stamp = 0;
    double started = 0;
    bool over = false;
    bool blind = false;  // without a provable lease: what is silent may only be cut off from us
    std::unique_ptr<Book> book;
    Event dirty, cloud, replan;
    std::map<std::string, net::Timer*> held;  // reports whose answers wait for work, by machine
    struct Stops {
        double decided = 0;
        DirectOrders orders;
    };
    std::deque<Stops> stops;  // not on their way yet; those that save first
    std::size_t stops_under_way = 0;
    WriteBudget writes;
};

class Node {
   public:
    using Reply = net::Reply;
    template <class T>
    using awaitable = net::awaitable<T>;

    Node(net::asio::io_context& io, const config::Settings& settings, const config::Tuning& tuning,
         net::Connect connect, std::uint64_t seed, std::uint64_t record_format = wire::records::format);
    void start();      // servers and loops
    void run_loops();  // the loops alone: requests come by front() and mesh()
    awaitable<Reply> front(net::Request request);
    awaitable<Reply> mesh(net::Request request);

   private:
    // --- node.cpp ---
    net::HttpServer::Limits front_limits();
    [[nodiscard]] net::HttpServer::Limits mesh_limits() const;
    void spawn(awaitable<void> loop);
    awaitable<void> mirror_loop();
    awaitable<bool> load_mirror();
    awaitable<void> gossip_loop(std::size_t peer);
    awaitable<void> lag_loop();
    // Looks up how the dependencies of live jobs ended, where the mirror does not tell.
    awaitable<void> dependency_loop();
    awaitable<std::optional<Reply>> state(std::string method, std::string target, std::string body = {},
                                          double timeout_s = constants::state_timeout_s);
    // True once everything committed before the call is in the mirror.
    awaitable<bool> barrier();
    [[nodiscard]] double gap_for(double share) const;
    void heard_token(std::uint64_t token, const std::string& from);
    wire::Gossip gossip() const;
    // Names a cancellation to the leader before its user is told.
    awaitable<void> announce(std::uint64_t revision, std::string job);
    void heard_question(const wire::Gossip& question);
    void heard_gossip(std::size_t peer, double sent, wire::Gossip answer);
    [[nodiscard]] bool whole_outage() const;
    [[nodiscard]] double now() const;
    [[nodiscard]] static std::int64_t wall_ms();
    int retry_after();

    // --- lease.cpp ---
    awaitable<void> lead_loop();
    awaitable<std::shared_ptr<Term>> campaign();
    awaitable<void> hold(std::shared_ptr<Term> term);
    void end_term(Term& term, const char* why);
    [[nodiscard]] bool may_start(const Term& term) const;
    [[nodiscard]] bool may_answer(const Term& term) const;

    // --- leader.cpp ---
    bool open_book(Term& term);
    awaitable<void> commit_loop(std::shared_ptr<Term> term);
    awaitable<void> plan_loop(std::shared_ptr<Term> term);
    awaitable<void> list_loop(std::shared_ptr<Term> term);
    awaitable<void> types_loop(std::shared_ptr<Term> term);
    awaitable<void> rent_loop(std::shared_ptr<Term> term);
    awaitable<void> release_loop(std::shared_ptr<Term> term);
    awaitable<void> format_loop(std::shared_ptr<Term> term);
    [[nodiscard]] std::set<std::string> format_readers() const;
    [[nodiscard]] bool format_agreed() const;
    void apply_committed(Term& term, const Batch& batch, std::uint64_t epoch);
    awaitable<void> cloud_turn();
    void queue_stops(Term& term);
    void send_queued(const std::shared_ptr<Term>& term);
    awaitable<void> send_stops(std::shared_ptr<Term> term, DirectOrders orders);
    void plan(Term& term);
    awaitable<Reply> checkin(std::string body);

    // --- users.cpp ---
    awaitable<Reply> submit(std::string body);
    // uncertain: it may have been accepted; conflict: the job is known.
    enum class Acceptance { accepted, conflict, too_large, uncertain };
    awaitable<Acceptance> accept(model::JobSpec spec);
    awaitable<Reply> poll(std::string id);
    awaitable<Reply> cancel(std::string id);
    Reply health() const;
    [[nodiscard]] bool served() const;  // by the state service, a moment ago
    Reply refuse(std::string_view why);
    Reply unavailable() { return refuse("state service unavailable"); }
    Reply too_busy();
    // What a job is to its users, by a read that was sent after the question.
    enum class Standing { unknown, live, done, cancelled, undecidable };
    static Standing standing_of(model::Final final);
    awaitable<Standing> standing(std::string id);
    Reply answer(const std::string& id, Standing standing);
    // Why the job can't be accepted; nothing: it can.
    awaitable<std::optional<Reply>> objection(const model::JobSpec& spec);
    awaitable<std::optional<Reply>> objection_to_dependencies(const model::JobSpec& spec);
    enum class Dependency { known, service, unknown, undecidable };
    [[nodiscard]] std::optional<Dependency> remembered_dependency(const std::string& id);
    awaitable<Dependency> look_up_dependency(std::string id);
    // The final state, from memory or the state service; nothing when that can't be told now.
    awaitable<std::optional<std::optional<model::Final>>> find_final(std::string id);
    // Looks up these; false: not all could be told.
    awaitable<bool> resolve(std::vector<std::string> dependencies);

    struct PeerView {
        double heard_at = -1;       // when the request was sent that its last answer belongs to
        double answered_at = -1;    // when that answer came
        double question_at = -1;    // when its last question came
        bool reads_format = false;  // it was seen to read the present record format
        wire::Gossip last;
        [[nodiscard]] Proof::Contact contact() const {
            return {heard_at, static_cast<double>(last.state_age_ms) / 1000.0};
        }
    };

    net::asio::io_context& io_;
    const config::Settings settings_;
    const config::Tuning tuning_;
    const net::SocketShares sockets_;
    const std::uint64_t record_format_;  // that this process reads and, once all do, writes
    net::HttpServer front_, mesh_server_;
    net::Connect connect_;
    std::unique_ptr<net::Client> state_, cloud_;
    std::vector<std::unique_ptr<net::Client>> peer_clients_;
    double started_;
    std::vector<PeerView> peers_;
    Mirror mirror_;
    std::shared_ptr<Term> term_;
    std::mt19937_64 random_;
    Proof proof_;
    std::uint64_t heard_token_ = 0;
    std::string heard_leader_;
    double state_contact_ = -1;  // last answer of the state service
    Proof::Refusal refused_;     // since then
    double reported_ = -1;       // a worker reported here
    double abstain_until_ = -1;
    bool asked_to_depend_ = false;  // by a user, here or at a peer
    double lag_s_ = 0;
    double cloud_turn_ = 0;
    std::size_t submissions_ = 0, polls_ = 0;
    bool barrier_running_ = false;
    std::uint64_t barrier_started_ = 0, barrier_done_ = 0;
    bool barrier_ok_ = false;
    double barrier_sent_ = -1;
    Event barrier_event_, term_event_;
};

// Runs a controller until the process is killed.
void run(const config::Settings& settings, const config::Tuning& tuning);

}  // namespace pineroad::control
