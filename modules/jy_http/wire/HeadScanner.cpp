#include "jy_http/wire/HeadScanner.h"

namespace jy {

HeadScanner::State HeadScanner::scan(std::string_view received)
{
    const auto head = received.substr(0, maxBytes_);
    for (auto end = head.find('\n', searched_); end != std::string_view::npos;
         end = head.find('\n', searched_)) {
        const auto line = head.substr(lineStart_, end - lineStart_);
        if (!line.ends_with('\r'))
            return State::BadLineEnd;
        const bool isRequestLine = lineStart_ == 0;
        lineStart_ = searched_ = end + 1;
        if (line.size() == 1)
            return State::Complete;
        // A line that begins with white space continues a field.
        const bool beginsField = !isRequestLine && line.front() != ' ' && line.front() != '\t';
        if (beginsField && ++fields_ > maxFields_)
            return State::TooManyFields;
    }
    searched_ = head.size();
    return head.size() == maxBytes_ ? State::TooLong : State::Incomplete;
}

} // namespace jy
