// Wakes coroutines that wait for something to change. One thread, no locks.
#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <list>

#include "net/http.hpp"

namespace pineroad::control {

class Event {
   public:
    net::awaitable<void> wait(double at_most_s) {
        net::Timer timer(co_await boost::asio::this_coro::executor, net::seconds(at_most_s));
        const auto at = waiting_.insert(waiting_.end(), &timer);
        co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
        waiting_.erase(at);
    }
    void notify() {
        for (auto* t : waiting_) t->cancel();
    }

   private:
    std::list<net::Timer*> waiting_;
};

}  // namespace pineroad::control
