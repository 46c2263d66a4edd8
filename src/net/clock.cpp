#include "net/clock.hpp"

#include <boost/asio/this_coro.hpp>

namespace pineroad::net {

awaitable<void> sleep_for(double duration_s) {
    Timer timer(co_await asio::this_coro::executor, seconds(duration_s));
    co_await timer.async_wait(use_nothrow_awaitable);
}

}  // namespace pineroad::net
