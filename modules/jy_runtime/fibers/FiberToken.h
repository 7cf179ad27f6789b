#pragma once

#include <boost/asio/async_result.hpp>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <boost/system/error_code.hpp>

#include <mutex>
#include <tuple>
#include <type_traits>
#include <utility>

namespace jy {

/**
 * Completion token that suspends the calling fiber until an Asio operation completes.
 *
 * The operation's error goes into @p error; its result, if any, is returned:
 * @code
 * boost::system::error_code error;
 * std::size_t n = socket.async_read_some(buffer, FiberToken{error});
 * @endcode
 *
 * The operation must complete on the loop of the calling thread.
 * @see EventLoop
 */
struct FiberToken
{
    boost::system::error_code &error;
};

namespace detail {

/** Rendezvous of the waiting fiber and the completion handler; lives on the fiber's stack. */
template <class... Values>
struct FiberCompletion
{
    boost::fibers::mutex mutex;
    boost::fibers::condition_variable completed;
    bool done = false;
    boost::system::error_code error;
    std::tuple<Values...> values;

    void complete(boost::system::error_code result, Values... results)
    {
        const std::lock_guard lock(mutex);
        error = result;
        values = std::tuple<Values...>(std::move(results)...);
        done = true;
        completed.notify_one();
    }

    void wait()
    {
        std::unique_lock lock(mutex);
        completed.wait(lock, [this] { return done; });
    }
};

/** Result of an operation whose handler takes @p Values after the error. */
template <class... Values>
struct FiberReturn
{
    using Type = std::tuple<Values...>;
};

template <>
struct FiberReturn<>
{
    using Type = void;
};

template <class Value>
struct FiberReturn<Value>
{
    using Type = Value;
};

} // namespace detail

} // namespace jy

template <class... Values>
class boost::asio::async_result<jy::FiberToken, void(boost::system::error_code, Values...)>
{
public:
    // A deduced return type would instantiate the body while overloads are being ranked.
    using return_type = typename jy::detail::FiberReturn<std::decay_t<Values>...>::Type;

    template <class Initiation, class... Args>
    static return_type initiate(Initiation &&initiation, jy::FiberToken token, Args &&...args)
    {
        using Completion = jy::detail::FiberCompletion<std::decay_t<Values>...>;
        Completion completion;
        std::forward<Initiation>(initiation)(
            [&completion](boost::system::error_code error, Values... values) {
                completion.complete(error, std::move(values)...);
            },
            std::forward<Args>(args)...);
        completion.wait();
        token.error = completion.error;
        if constexpr (sizeof...(Values) == 1)
            return std::get<0>(std::move(completion.values));
        else if constexpr (sizeof...(Values) > 1)
            return std::move(completion.values);
    }
};
