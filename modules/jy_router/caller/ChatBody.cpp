#include "jy_router/caller/ChatBody.h"

#include <boost/json/basic_parser_impl.hpp>

#include <cstdint>
#include <string>

namespace jy {

namespace {

using boost::system::error_code;

/** Receives the values of a JSON text and keeps the members of its outermost object. */
class ChatBodyHandler
{
public:
    // NOLINTBEGIN(readability-identifier-naming): names that the parser uses
    // The whole text is in memory already, so its values need no limits.
    static constexpr std::size_t max_object_size = SIZE_MAX;
    static constexpr std::size_t max_array_size = SIZE_MAX;
    static constexpr std::size_t max_key_size = SIZE_MAX;
    static constexpr std::size_t max_string_size = SIZE_MAX;
    // NOLINTEND(readability-identifier-naming)

    /** Kind of the last value of a member. */
    enum class Kind { Absent, Null, Bool, String, Other };

    // NOLINTBEGIN(readability-identifier-naming): names that the parser calls
    bool on_document_begin(error_code & /*error*/) { return true; }
    bool on_document_end(error_code & /*error*/) { return true; }

    bool on_object_begin(error_code & /*error*/)
    {
        isObject_ = isObject_ || depth_ == 0;
        return begin();
    }

    bool on_object_end(std::size_t /*size*/, error_code & /*error*/) { return end(); }
    bool on_array_begin(error_code & /*error*/) { return begin(); }
    bool on_array_end(std::size_t /*size*/, error_code & /*error*/) { return end(); }

    bool on_key_part(std::string_view part, std::size_t /*size*/, error_code & /*error*/)
    {
        if (depth_ == 1)
            append(key_, part);
        return true;
    }

    bool on_key(std::string_view part, std::size_t /*size*/, error_code & /*error*/)
    {
        if (depth_ != 1)
            return true;
        append(key_, part);
        member_ = key_ == "model" ? &model : key_ == "stream" ? &stream : nullptr;
        key_.clear();
        text_.clear();
        return true;
    }

    bool on_string_part(std::string_view part, std::size_t /*size*/, error_code & /*error*/)
    {
        if (depth_ == 1 && member_ == &model)
            append(text_, part);
        return true;
    }

    bool on_string(std::string_view part, std::size_t size, error_code &error)
    {
        on_string_part(part, size, error);
        if (depth_ == 1 && member_ == &model)
            modelName = std::move(text_);
        return value(Kind::String);
    }

    bool on_number_part(std::string_view /*part*/, error_code & /*error*/) { return true; }

    bool on_int64(std::int64_t /*number*/, std::string_view /*text*/, error_code & /*error*/)
    {
        return value(Kind::Other);
    }

    bool on_uint64(std::uint64_t /*number*/, std::string_view /*text*/, error_code & /*error*/)
    {
        return value(Kind::Other);
    }

    bool on_double(double /*number*/, std::string_view /*text*/, error_code & /*error*/)
    {
        return value(Kind::Other);
    }

    bool on_bool(bool isTrue, error_code & /*error*/)
    {
        if (depth_ == 1 && member_ == &stream)
            streamValue = isTrue;
        return value(Kind::Bool);
    }

    bool on_null(error_code & /*error*/) { return value(Kind::Null); }
    bool on_comment_part(std::string_view /*part*/, error_code & /*error*/) { return true; }
    bool on_comment(std::string_view /*part*/, error_code & /*error*/) { return true; }
    // NOLINTEND(readability-identifier-naming)

    bool isObject() const { return isObject_; }

    Kind model = Kind::Absent;
    std::string modelName;
    Kind stream = Kind::Absent;
    bool streamValue = false;

private:
    /** Keeps one byte more than a name may have, so that longer ones are noticed. */
    static void append(std::string &text, std::string_view part)
    {
        text.append(part.substr(0, ChatBody::maxModelBytes + 1 - text.size()));
    }

    bool begin()
    {
        value(Kind::Other);
        ++depth_;
        return true;
    }

    bool end()
    {
        --depth_;
        return true;
    }

    bool value(Kind kind)
    {
        if (depth_ == 1 && member_ != nullptr)
            *member_ = kind;
        return true;
    }

    /** Objects and arrays around the current position. */
    std::size_t depth_ = 0;
    bool isObject_ = false;

    /** Parts of the current key and text, of which the parser may pass several. */
    std::string key_;
    std::string text_;

    /** The member whose value follows; null for others. */
    Kind *member_ = nullptr;
};

Error badRequest(const char *message)
{
    return {ErrorKind::BadRequest, message};
}

} // namespace

Result<ChatBody> ChatBody::read(std::string_view text)
{
    using Kind = ChatBodyHandler::Kind;
    boost::json::basic_parser<ChatBodyHandler> parser{boost::json::parse_options()};
    error_code error;
    const auto parsed = parser.write_some(false, text.data(), text.size(), error);
    const auto &body = parser.handler();
    if (error || parsed < text.size() || !body.isObject())
        return badRequest("the body must be a JSON object");
    if (body.model != Kind::String || body.modelName.empty())
        return badRequest("the member \"model\" must be a text");
    if (body.modelName.size() > maxModelBytes)
        return badRequest("the member \"model\" is too long");
    if (body.stream == Kind::Other || body.stream == Kind::String)
        return badRequest("the member \"stream\" must be true or false");
    return ChatBody{ModelId(body.modelName), body.stream == Kind::Bool && body.streamValue};
}

} // namespace jy
