#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <utility>

namespace jy {

/**
 * Bytes that a process may hold for one purpose at once, such as bodies.
 *
 * Shared by all connections, so that many bodies of a permitted size cannot use up the memory of a
 * small machine together. A budget can be a part of another one.
 */
class ByteBudget
{
public:
    /** @param whole also bounds and counts the bytes of this budget; null: none */
    explicit ByteBudget(std::size_t limit, std::shared_ptr<ByteBudget> whole = nullptr)
        : limit_(limit)
        , whole_(std::move(whole))
    { }

    std::size_t limit() const { return limit_; }
    std::size_t used() const { return used_; }

    /** Largest use so far. */
    std::size_t peak() const { return peak_; }

    /** Largest use since the last call. */
    std::size_t takeRecentPeak() { return std::exchange(recentPeak_, used_); }

    /** Called before a lease grows by this number of bytes; it must not resize leases. */
    void setBeforeGrowth(std::function<void(std::size_t)> beforeGrowth)
    {
        beforeGrowth_ = std::move(beforeGrowth);
    }

private:
    friend class ByteLease;

    enum class Excess {
        Refuse,
        Count, /**< the bytes are held already and are counted even above the limit */
    };

    bool change(std::size_t from, std::size_t to, Excess excess);

    std::size_t limit_;
    std::shared_ptr<ByteBudget> whole_;
    std::function<void(std::size_t)> beforeGrowth_;
    std::size_t used_ = 0;
    std::size_t peak_ = 0;
    std::size_t recentPeak_ = 0;
};

/** Part of a ByteBudget that is given back when the lease ends. */
class ByteLease
{
public:
    /** @param budget null for a lease without a bound */
    explicit ByteLease(std::shared_ptr<ByteBudget> budget)
        : budget_(std::move(budget))
    { }

    ByteLease(const ByteLease &) = delete;
    ByteLease &operator=(const ByteLease &) = delete;
    ~ByteLease() { release(); }

    /** Changes the size. @returns false, and keeps the size, when the budget has no room for it. */
    bool resize(std::size_t bytes);

    /** Changes the size, also above the limit; for bytes that cannot be refused any more. */
    void count(std::size_t bytes);

    void release() { resize(0); }
    std::size_t size() const { return size_; }

private:
    std::shared_ptr<ByteBudget> budget_;
    std::size_t size_ = 0;
};

} // namespace jy
