#include "controller/spawn.hpp"

#include <spdlog/spdlog.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/core/demangle.hpp>
#include <exception>
#include <typeinfo>
#include <utility>

namespace pineroad::controller {
namespace {

// Logs the exception that ended the loop.
void log_failure(const std::string& loop, const std::exception_ptr& failure) {
    try {
        std::rethrow_exception(failure);
    } catch (const std::exception& error) {
        spdlog::error("the {} loop failed and ends the process: {}: {}", loop,
                      boost::core::demangle(typeid(error).name()), error.what());
    } catch (...) {
        spdlog::error("the {} loop failed and ends the process: unknown exception", loop);
    }
}

}  // namespace

void spawn(net::asio::io_context& io, std::string name, net::awaitable<void> loop) {
    net::asio::co_spawn(io, std::move(loop), [name = std::move(name)](const std::exception_ptr& failure) {
        if (!failure) return;
        log_failure(name, failure);
        std::rethrow_exception(failure);
    });
}

}  // namespace pineroad::controller
