#include "jy_gateway/registry/StoreMirror.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <set>
#include <tuple>

namespace jy::test {

namespace {

/** Store that is written to and restored from copies of any age. */
class ModelStore
{
public:
    void write(const std::string &key, bool removed)
    {
        const StoreItem item{key, removed ? "" : std::to_string(++lastValue_), ++state_.revision,
                             removed};
        state_.items[key] = item;
        record(item);
    }

    void save() { copies_.push_back(state_); }

    void restore(std::size_t copy)
    {
        state_ = copies_.empty() ? State{} : copies_[copy % copies_.size()];
        ++era_;
        for (const auto &[key, item] : state_.items)
            record(item);
    }

    StorePage list() const
    {
        StorePage page{.asOf = state_.revision, .era = era_};
        for (const auto &[key, item] : state_.items) {
            if (!item.removed)
                page.items.push_back(item);
        }
        return page;
    }

    StorePage changesAfter(std::uint64_t revision) const
    {
        StorePage page{.asOf = state_.revision, .era = era_};
        for (const auto &[key, item] : state_.items) {
            if (item.revision > revision)
                page.items.push_back(item);
        }
        return page;
    }

    /** Whether an item was in the store at any time of an era. */
    bool existed(StoreEra era, const StoreItem &item) const
    {
        return existed_.contains({era, item.revision, item.key, item.value});
    }

private:
    struct State
    {
        std::map<std::string, StoreItem> items;
        std::uint64_t revision = 1;
    };

    void record(const StoreItem &item)
    {
        existed_.insert({era_, item.revision, item.key, item.value});
    }

    State state_;
    std::vector<State> copies_;
    StoreEra era_ = 1;
    int lastValue_ = 0;
    std::set<std::tuple<StoreEra, std::uint64_t, std::string, std::string>> existed_;
};

/** A copy of the store, with the items that its observer was told. */
struct Reader
{
    enum class Source { List, Changes, PeerCopy };

    struct Response
    {
        Source source;
        StorePage page;
        StorePosition after;
    };

    void deliver(const Response &response)
    {
        switch (response.source) {
        case Source::List:
            std::ignore = mirror.applyList(response.page);
            break;
        case Source::Changes:
            if (response.page.era == response.after.era)
                std::ignore = mirror.applyChanges(response.page);
            break;
        case Source::PeerCopy:
            std::ignore = mirror.applyPeerCopy(response.page);
            break;
        }
    }

    std::map<std::string, std::string> told;
    std::vector<Response> late;
    StoreMirror mirror{[this](const StoreItem &item) {
        if (item.removed)
            told.erase(item.key);
        else
            told[item.key] = item.value;
    }};
};

std::map<std::string, std::string> values(const std::vector<StoreItem> &items)
{
    std::map<std::string, std::string> result;
    for (const auto &item : items)
        result[item.key] = item.value;
    return result;
}

// Guards against items of an earlier era that win over later ones, whatever overtakes what.
RC_GTEST_PROP(StoreMirrorPropertyTest, CopiesFollowTheStoreThroughRestores, ())
{
    enum class Step { Write, Remove, Save, Restore, List, Watch, PeerCopy, Deliver };
    ModelStore store;
    std::array<Reader, 2> readers;
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 8), rc::gen::inRange(0, 60)));
    for (const auto &[step, number] : steps) {
        auto &reader = readers[static_cast<std::size_t>(number % 2)];
        const auto &other = readers[static_cast<std::size_t>(1 - number % 2)];
        const auto key = "k" + std::to_string(number % 4);
        const auto position = reader.mirror.position();
        const auto before = position.era;
        switch (static_cast<Step>(step)) {
        case Step::Write:
        case Step::Remove:
            store.write(key, static_cast<Step>(step) == Step::Remove);
            break;
        case Step::Save:
            store.save();
            break;
        case Step::Restore:
            store.restore(static_cast<std::size_t>(number));
            break;
        case Step::List:
            reader.late.push_back({Reader::Source::List, store.list(), position});
            break;
        case Step::Watch:
            if (position.revision != 0)
                reader.late.push_back(
                    {Reader::Source::Changes, store.changesAfter(position.revision), position});
            break;
        case Step::PeerCopy: {
            const auto from = other.mirror.position();
            reader.late.push_back(
                {Reader::Source::PeerCopy,
                 {.items = other.mirror.items(), .asOf = from.revision, .era = from.era},
                 position});
            break;
        }
        case Step::Deliver:
            if (!reader.late.empty())
                reader.deliver(reader.late[static_cast<std::size_t>(number) % reader.late.size()]);
            break;
        }
        const auto now = reader.mirror.position().era;
        RC_ASSERT(now >= before);
        for (const auto &item : reader.mirror.items())
            RC_ASSERT(store.existed(now, item));
        RC_ASSERT(reader.told == values(reader.mirror.items()));
    }
    for (auto &reader : readers) {
        reader.deliver({Reader::Source::List, store.list(), {}});
        for (const auto &response : reader.late)
            reader.deliver(response);
        RC_ASSERT(values(reader.mirror.items()) == values(store.list().items));
        RC_ASSERT(reader.mirror.position() == store.list().position()
                  || reader.mirror.position().revision == 0);
    }
}

} // namespace

} // namespace jy::test
