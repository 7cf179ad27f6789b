#include "Conversation.h"

#include "common/ReplyText.h"

#include <optional>

namespace jy::standins {

namespace {

double millisSince(TimePoint start)
{
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start)
        .count();
}

/** Checks the parts of one response against the prompt as they arrive. */
class PartChecker
{
public:
    PartChecker(std::string prompt, int expected)
        : prompt_(std::move(prompt))
    {
        parts_.expected = expected;
    }

    void feed(std::string_view text)
    {
        pending_ += text;
        std::size_t end = 0;
        while ((end = pending_.find(' ')) != std::string::npos) {
            check(pending_.substr(0, end + 1));
            pending_.erase(0, end + 1);
        }
    }

    /** Records one token's arrival. */
    void arrived(TimePoint now)
    {
        if (last_ != TimePoint{})
            gaps_.push_back(std::chrono::duration<double, std::milli>(now - last_).count());
        last_ = now;
    }

    const ReceivedParts &parts() const { return parts_; }
    std::vector<double> takeGaps() { return std::move(gaps_); }

private:
    void check(const std::string &part)
    {
        if (part == replyPart(prompt_, next_)) {
            ++next_;
            ++parts_.received;
            return;
        }
        for (int i = 0; i < parts_.expected; ++i) {
            if (part != replyPart(prompt_, i))
                continue;
            if (i < next_) {
                ++parts_.duplicate;
            } else {
                parts_.missing += i - next_;
                next_ = i + 1;
                ++parts_.received;
            }
            return;
        }
        ++parts_.foreign;
    }

    std::string prompt_;
    std::string pending_;
    int next_ = 0;
    ReceivedParts parts_;
    TimePoint last_;
    std::vector<double> gaps_;
};

void readUsage(const boost::json::object &body, CallRecord &record)
{
    if (const auto *name = body.if_contains("system_fingerprint"); name && name->is_string())
        record.servedBy = name->as_string();
    const auto *usage = body.if_contains("usage");
    if (usage == nullptr || !usage->is_object())
        return;
    const auto &fields = usage->as_object();
    const auto *details = fields.if_contains("prompt_tokens_details");
    const auto *prompt = fields.if_contains("prompt_tokens");
    if (details == nullptr || prompt == nullptr || prompt->to_number<double>() <= 0)
        return;
    record.cachedShare =
        details->at("cached_tokens").to_number<double>() / prompt->to_number<double>();
}

/** Reads a streamed response. */
class StreamReader
{
public:
    StreamReader(PartChecker &checker, CallRecord &record, TimePoint start)
        : checker_(checker)
        , record_(record)
        , start_(start)
    { }

    bool feed(std::string_view bytes)
    {
        auto events = parser_.feed(bytes);
        if (!events)
            return false;
        for (const ServerSentEvent &event : events.value())
            take(event);
        return true;
    }

    bool sawDone() const { return done_; }
    bool sawError() const { return error_; }

private:
    void take(const ServerSentEvent &event)
    {
        if (event.event == "error") {
            error_ = true;
            const auto body = boost::json::parse(event.data).as_object();
            const auto &details = body.at("error").as_object();
            record_.errorKind = details.at("kind").as_string();
            record_.effect = details.at("effect").as_string();
            return;
        }
        if (event.data == "[DONE]") {
            done_ = true;
            return;
        }
        const auto body = boost::json::parse(event.data).as_object();
        readUsage(body, record_);
        const auto &choices = body.at("choices").as_array();
        if (choices.empty())
            return;
        const auto *delta = choices[0].as_object().if_contains("delta");
        const auto *content = delta ? delta->as_object().if_contains("content") : nullptr;
        if (content == nullptr || !content->is_string() || content->as_string().empty())
            return;
        if (record_.firstTokenMs == 0)
            record_.firstTokenMs = millisSince(start_);
        checker_.feed(content->as_string());
        checker_.arrived(std::chrono::steady_clock::now());
    }

    PartChecker &checker_;
    CallRecord &record_;
    TimePoint start_;
    SseParser parser_;
    bool done_ = false;
    bool error_ = false;
};

} // namespace

Conversation::Conversation(RouterClient &client, const LoadSettings &load, Settings settings)
    : client_(client)
    , load_(load)
    , settings_(std::move(settings))
{ }

HttpRequest Conversation::buildRequest(bool stream) const
{
    HttpRequest request;
    request.method = "POST";
    request.target = "/v1/chat/completions";
    const std::string chat = settings_.chat + '-' + std::to_string(restarts_);
    request.headers = {{"Content-Type", "application/json"},
                       {"X-Workspace", settings_.workspace},
                       {"X-Chat-Id", chat},
                       {"X-Request-Id", chat + '.' + std::to_string(turn_)},
                       {"X-Deadline-Ms", std::to_string(load_.deadline.count())}};
    request.body = boost::json::serialize(boost::json::object{{"model", load_.model},
                                                              {"messages", messages_},
                                                              {"max_tokens", settings_.maxTokens},
                                                              {"stream", stream}});
    return request;
}

CallRecord Conversation::nextTurn(std::mt19937_64 &random)
{
    if (turn_ >= settings_.maxTurns) {
        turn_ = 0;
        ++restarts_;
        messages_.clear();
    }
    const auto message = [](const char *role, const std::string &content) {
        return boost::json::object{{"role", role}, {"content", content}};
    };
    if (messages_.empty())
        messages_.push_back(message("system", "You assist " + settings_.workspace + '.'));
    const std::string prompt =
        settings_.chat + '/' + std::to_string(restarts_) + '/' + std::to_string(turn_);
    messages_.push_back(message("user", prompt));

    const bool stream = std::uniform_real_distribution<>(0, 1)(random) < settings_.streamShare;
    const TimePoint start = std::chrono::steady_clock::now();
    CallRecord record;
    std::string body;
    PartChecker checker(prompt, settings_.maxTokens);
    std::optional<StreamReader> reader;
    const auto begin = [&] {
        body.clear();
        checker = PartChecker(prompt, settings_.maxTokens);
        reader.emplace(checker, record, start);
    };
    const auto sink = [&](std::string_view bytes) {
        if (stream)
            return reader->feed(bytes);
        body += bytes;
        return true;
    };
    client_.call(settings_.workspace, settings_.chat + '-' + std::to_string(restarts_),
                 buildRequest(stream), true, begin, sink, record);
    if (stream && record.end == CallEnd::Complete && !(reader && reader->sawDone()))
        record.end = reader->sawError() ? CallEnd::Interrupted : CallEnd::SilentEnd;
    if (!stream && record.end == CallEnd::Complete) {
        const auto json = boost::json::parse(body).as_object();
        readUsage(json, record);
        record.firstTokenMs = millisSince(start);
        checker.feed(json.at("choices").as_array().at(0).at("message").at("content").as_string());
    }
    record.totalMs = millisSince(start);
    record.parts = checker.parts();
    record.tokenGapsMs = checker.takeGaps();
    messages_.push_back(message("assistant", "reply to " + prompt));
    ++turn_;
    return record;
}

} // namespace jy::standins
