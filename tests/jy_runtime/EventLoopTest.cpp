#include "jy_runtime/jy_runtime.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <thread>

using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

// Guards against a scheduler that starves socket handlers while other fibers are always ready.
TEST(EventLoop, SocketsProgressWhileAFiberYieldsInALoop)
{
    jy::EventLoop loop;
    loop.run([&] {
        bool stop = false;
        jy::EventLoop::spawn([&] {
            while (!stop)
                boost::this_fiber::yield();
        });
        tcp::acceptor acceptor(loop.io(), {boost::asio::ip::make_address("127.0.0.1"), 0});
        tcp::socket server(loop.io());
        tcp::socket client(loop.io());
        bool accepted = false;
        jy::EventLoop::spawn([&] {
            boost::system::error_code error;
            acceptor.async_accept(server, jy::FiberToken{error});
            accepted = !error;
        });
        boost::system::error_code error;
        client.async_connect(acceptor.local_endpoint(), jy::FiberToken{error});
        ASSERT_FALSE(error);
        while (!accepted)
            jy::EventLoop::sleepFor(1ms);
        boost::asio::async_write(server, boost::asio::buffer("abc", 3), jy::FiberToken{error});
        std::array<char, 8> buffer{};
        const auto size =
            client.async_read_some(boost::asio::buffer(buffer), jy::FiberToken{error});
        EXPECT_EQ(std::string(buffer.data(), size), "abc");
        stop = true;
        jy::EventLoop::sleepFor(1ms);
    });
}

// Guards against a lost wake-up when another thread, such as one of gRPC, posts to an idle loop.
TEST(EventLoop, WorkPostedFromAnotherThreadRunsOnTheLoop)
{
    jy::EventLoop loop;
    std::thread poster;
    loop.run([&] {
        const auto loopThread = std::this_thread::get_id();
        bool ran = false;
        poster = std::thread([&] {
            std::this_thread::sleep_for(20ms);
            loop.postFromOtherThread([&] {
                EXPECT_EQ(std::this_thread::get_id(), loopThread);
                ran = true;
            });
        });
        for (int i = 0; i < 200 && !ran; ++i)
            jy::EventLoop::sleepFor(10ms);
        EXPECT_TRUE(ran);
    });
    poster.join();
}

} // namespace
