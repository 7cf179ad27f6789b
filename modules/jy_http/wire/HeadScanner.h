#pragma once

#include <cstddef>
#include <string_view>

namespace jy {

/**
 * Finds the end of a request head in received bytes and counts its fields, so that a head takes no
 * more memory than its bytes until it is complete.
 */
class HeadScanner
{
public:
    enum class State {
        Incomplete,
        Complete,
        TooLong,
        TooManyFields,
        BadLineEnd, /**< a line feed without a carriage return */
    };

    /** @param maxBytes limit of the head with its empty line */
    HeadScanner(std::size_t maxBytes, std::size_t maxFields)
        : maxBytes_(maxBytes)
        , maxFields_(maxFields)
    { }

    /** @param received all bytes from the start of the head; those of earlier calls unchanged */
    State scan(std::string_view received);

    /** Length of the head with its empty line, when it is complete. */
    std::size_t headBytes() const { return lineStart_; }

private:
    std::size_t maxBytes_;
    std::size_t maxFields_;
    std::size_t fields_ = 0;
    std::size_t lineStart_ = 0;

    /** Where the search for the end of the line goes on. */
    std::size_t searched_ = 0;
};

} // namespace jy
