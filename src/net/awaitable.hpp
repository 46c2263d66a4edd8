// Names of the coroutine library that the rest of the code uses.
#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace pineroad::net {

namespace asio = boost::asio;
using asio::awaitable;

// Awaits an operation that gives its error beside its results and doesn't throw it.
inline constexpr auto use_nothrow_awaitable = asio::as_tuple(asio::use_awaitable);

}  // namespace pineroad::net
