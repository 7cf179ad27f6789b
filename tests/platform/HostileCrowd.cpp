#include "platform/HostileCrowd.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace jy::platform::test {

using tcp = boost::asio::ip::tcp;
using Clock = std::chrono::steady_clock;
using boost::system::error_code;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t kilobyte = 1024;
constexpr std::size_t smallPieceBytes = 1001;
constexpr std::size_t largePieceBytes = 64 * kilobyte;
constexpr std::size_t onePieceBytes = 1024 * kilobyte;

// Crowds that send or read slowly go on for this time.
constexpr seconds slowTime{3};

/** Number from the environment, for runs of the real sizes by hand. */
int numberFromEnvironment(const char *name, int usual)
{
    const char *text = std::getenv(name);
    return text ? std::atoi(text) : usual;
}

std::string repeated(std::string_view text, std::size_t bytes)
{
    std::string out;
    while (out.size() + text.size() <= bytes)
        out += text;
    return out;
}

std::string post(const std::string &path, const std::string &framing,
                 const std::string &fields = "Host: h")
{
    return "POST " + path + " HTTP/1.1\r\n" + fields + "\r\n" + framing + "\r\n\r\n";
}

std::string manyFields(const std::string &path)
{
    constexpr std::size_t headBytes = 16 * kilobyte - 128;
    return "GET " + path + " HTTP/1.1\r\nHost: h\r\n" + repeated("a:\r\n", headBytes);
}

std::string longFields(const std::string &path)
{
    constexpr int fields = 62;
    constexpr std::size_t fieldBytes = 250;
    auto head = "GET " + path + " HTTP/1.1\r\nHost: h\r\n";
    for (int i = 0; i < fields; ++i)
        head += "a: " + std::string(fieldBytes, 'x') + "\r\n";
    return head;
}

std::string pipelined(const std::string &path)
{
    constexpr std::size_t requests = 300;
    const auto request = "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n";
    return repeated(request, requests * request.size());
}

std::string manyTrailers(const std::string &path)
{
    constexpr std::size_t trailerBytes = 240 * kilobyte;
    return post(path, "Transfer-Encoding: chunked") + "0\r\n" + repeated("a:\r\n", trailerBytes);
}

constexpr std::size_t legalBodyBytes = 64 * kilobyte;

std::string withoutItsEnd(std::string request, std::size_t bytes)
{
    request.resize(request.size() - bytes);
    return request;
}

std::string shortBody(const std::string &path)
{
    return withoutItsEnd(requestWithBody(path, legalBodyBytes), 1);
}

// The last chunk is "0\r\n\r\n".
constexpr std::size_t lastChunkBytes = 5;

std::string chunksWithoutEnd(const std::string &path)
{
    constexpr std::size_t chunkBytes = 4 * kilobyte;
    return withoutItsEnd(requestInChunks(path, legalBodyBytes, chunkBytes), lastChunkBytes);
}

std::string chunksOfOneByte(const std::string &path)
{
    constexpr std::size_t bodyBytes = 16 * kilobyte;
    return withoutItsEnd(requestInChunks(path, bodyBytes, 1), lastChunkBytes);
}

// Sent of bodies whose announced length is far over the limit.
constexpr std::size_t excessBytes = 256 * kilobyte;

std::string tooLongBody(const std::string &path)
{
    return post(path, "Content-Length: 1000000000") + std::string(excessBytes, 'x');
}

std::string tooLongChunk(const std::string &path)
{
    return post(path, "Transfer-Encoding: chunked") + "40000000\r\n"
        + std::string(excessBytes, 'x');
}

std::string halfABody(const std::string &path)
{
    return withoutItsEnd(requestWithBody(path, legalBodyBytes), legalBodyBytes / 2);
}

} // namespace

int crowdSize()
{
    return numberFromEnvironment("JY_HOSTILE_CONNECTIONS", 400);
}

int memoryMb()
{
    return numberFromEnvironment("JY_HOSTILE_MEMORY_MB", 48);
}

const std::vector<HostileBehaviour> &hostileBehaviours()
{
    static const std::vector<HostileBehaviour> behaviours{
        {"ManyFields", manyFields, smallPieceBytes},
        {"LongFields", longFields, smallPieceBytes},
        {"Pipelined", pipelined, largePieceBytes},
        {"ManyTrailers", manyTrailers, smallPieceBytes},
        {"ShortBody", shortBody, smallPieceBytes},
        {"ShortBodyInOnePiece", shortBody, onePieceBytes},
        {"ChunksWithoutEnd", chunksWithoutEnd, smallPieceBytes},
        {"ChunksOfOneByte", chunksOfOneByte, smallPieceBytes},
        {"TooLongBody", tooLongBody, largePieceBytes},
        {"TooLongChunk", tooLongChunk, largePieceBytes},
        {"HalfABody", halfABody, smallPieceBytes},
        {"SlowSender", shortBody, 16, 0, milliseconds(20), slowTime},
        {"SlowReader", pipelined, largePieceBytes, 16, milliseconds(20), slowTime}};
    return behaviours;
}

const HostileBehaviour &hostileBehaviour(std::string_view name)
{
    return *std::ranges::find(hostileBehaviours(), name, &HostileBehaviour::name);
}

std::string requestWithBody(const std::string &path, std::size_t bodyBytes,
                            const std::string &fields)
{
    return post(path, "Content-Length: " + std::to_string(bodyBytes), fields)
        + std::string(bodyBytes, 'x');
}

std::string requestInChunks(const std::string &path, std::size_t bodyBytes, std::size_t chunkBytes,
                            const std::string &fields)
{
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", chunkBytes);
    const auto chunk = size.data() + std::string(chunkBytes, 'x') + "\r\n";
    return post(path, "Transfer-Encoding: chunked", fields)
        + repeated(chunk, bodyBytes / chunkBytes * chunk.size()) + "0\r\n\r\n";
}

void HostileCrowd::connect(const Endpoint &address, const std::string &bytes)
{
    auto &member = members_.emplace_back(Member{.socket = tcp::socket(loop_.io()), .bytes = bytes});
    error_code error;
    member.socket.open(tcp::v4(), error);
    // A small window, so that the process soon holds responses that were not read.
    member.socket.set_option(tcp::socket::receive_buffer_size(4096), error);
    member.socket.connect({boost::asio::ip::make_address(address.address), address.port}, error);
    member.socket.non_blocking(true, error);
}

void HostileCrowd::send()
{
    const auto end = Clock::now() + behaviour_.longestSending;
    auto lastProgress = Clock::now();
    while (Clock::now() < std::min(end, lastProgress + seconds(1)) && sendSome(lastProgress))
        EventLoop::sleepFor(behaviour_.pause);
}

bool HostileCrowd::sendSome(Clock::time_point &lastProgress)
{
    std::string received(behaviour_.readBytes, '\0');
    bool left = false;
    for (auto &member : members_) {
        error_code error;
        if (behaviour_.readBytes > 0)
            member.socket.read_some(boost::asio::buffer(received), error);
        if (member.sent == member.bytes.size())
            continue;
        const auto rest = boost::asio::buffer(member.bytes) + member.sent;
        const auto written =
            member.socket.write_some(boost::asio::buffer(rest, behaviour_.pieceBytes), error);
        member.sent += written;
        if (error && error != boost::asio::error::would_block)
            member.sent = member.bytes.size();
        if (written > 0)
            lastProgress = Clock::now();
        left = left || member.sent < member.bytes.size();
    }
    return left || behaviour_.readBytes > 0;
}

void HostileCrowd::awaitAnswers(milliseconds longest)
{
    const auto end = Clock::now() + longest;
    for (auto &member : members_) {
        error_code error;
        while (Clock::now() < end && member.socket.available(error) == 0 && !error) {
            char byte = 0;
            member.socket.receive(boost::asio::buffer(&byte, 1), tcp::socket::message_peek, error);
            if (error == boost::asio::error::would_block) {
                error.clear();
                EventLoop::sleepFor(milliseconds(5));
            }
        }
    }
}

std::ptrdiff_t ProcessUsage::openDescriptors() const
{
    const std::filesystem::directory_iterator entries(folder_ + "fd");
    return std::distance(begin(entries), end(entries));
}

double ProcessUsage::statusMb(std::string_view field) const
{
    std::ifstream status(folder_ + "status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(field))
            return std::stod(line.substr(field.size())) / 1024;
    }
    return 0;
}

} // namespace jy::platform::test
