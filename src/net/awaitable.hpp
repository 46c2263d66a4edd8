// Names from the coroutine library (Boost.Asio) that the rest of the code uses.
#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace pineroad::net {

namespace asio = boost::asio;
using asio::awaitable;

// Completion token: the awaited operation returns its error code as part of a tuple instead of throwing it.
inline constexpr auto use_nothrow_awaitable = asio::as_tuple(asio::use_awaitable);

}  // namespace pineroad::net
