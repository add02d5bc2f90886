#include "banyan/core/byte_share.h"

#include <catch2/catch.hpp>

#include <limits>

using namespace banyan;

namespace {

constexpr byte_budget_options options{.capacity = 100, .reserve = 20, .smallShare = 10};

} // namespace

TEST_CASE("byte_share gives back what it drew, also when it is moved")
{
    byte_budget budget(options);
    {
        byte_share share(budget, memory_holder::Bodies);
        REQUIRE(share.resize(50));
        byte_share moved(std::move(share));
        CHECK(moved.bytes() == 50);
        CHECK(budget.used(memory_holder::Bodies) == 50);
        CHECK(moved.resize(30));
        CHECK(budget.used() == 30);
        byte_share other(budget, memory_holder::Answers);
        REQUIRE(other.resize(5));
        other = std::move(moved);
        CHECK(budget.used() == 30);
        CHECK(budget.used(memory_holder::Answers) == 0);
    }
    CHECK(budget.used() == 0);
}

TEST_CASE("byte_budget keeps a reserve for small shares")
{
    byte_budget budget(options);
    byte_share large(budget, memory_holder::Bodies);
    CHECK_FALSE(large.resize(81));
    CHECK(large.bytes() == 0);
    REQUIRE(large.resize(80));
    byte_share small(budget, memory_holder::Bodies);
    CHECK(small.resize(10));
    CHECK_FALSE(small.resize(11));
    CHECK(small.bytes() == 10);
}

TEST_CASE("byte_budget lets jobs hold half of it")
{
    byte_budget budget(options);
    byte_share jobs(budget, memory_holder::Jobs);
    CHECK_FALSE(jobs.resize(51));
    CHECK(jobs.resize(50));
    byte_share body(budget, memory_holder::Bodies);
    CHECK(body.resize(30));
}

TEST_CASE("byte_share may always become smaller, and counts what is held beyond the budget")
{
    byte_budget budget(options);
    byte_share share(budget, memory_holder::Answers);
    share.charge(200);
    CHECK(budget.used() == 200);
    CHECK(share.resize(150));
    byte_share other(budget, memory_holder::Bodies);
    CHECK_FALSE(other.resize(1));
}

TEST_CASE("byte_budget without a capacity refuses nothing and counts")
{
    byte_budget budget(byte_budget::optionsFor(0));
    byte_share share(budget, memory_holder::Bodies);
    CHECK(share.resize(std::size_t(1) << 40));
    CHECK(budget.used() == std::size_t(1) << 40);
}

TEST_CASE("byte_budget of the smallest machine has room for a body of 4 MiB with its copies, beside its growth")
{
    byte_budget budget(byte_budget::optionsFor(std::size_t(32) << 20));
    byte_share share(budget, memory_holder::Bodies);
    CHECK(share.resize(3 * (std::size_t(4) << 20)));
}

TEST_CASE("byte_budget leaves half of its capacity to others than connections whose requests are not read yet")
{
    CHECK(byte_budget({.capacity = 1000, .reserve = 100}).connectionsWithin(50) == 10);
    CHECK(byte_budget({}).connectionsWithin(50) == std::numeric_limits<std::size_t>::max());
}
