#include "banyan/core/client_ledger.h"

#include <catch2/catch.hpp>

using namespace banyan;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{};
constexpr std::size_t plenty = progress_meter::leastRate * 2;

held_client &add(client_ledger &ledger, const std::string &address, client_phase phase, std::size_t bytes, time_point now = start)
{
    held_client &client = ledger.add(address, now);
    client.await(phase, now);
    client.bytes = bytes;
    return client;
}

} // namespace

TEST_CASE("progress_meter tells who moves nothing for a window, and who moves too little in one")
{
    progress_meter meter;
    meter.restart(start);
    CHECK_FALSE(meter.isSlow(start + 999ms));
    CHECK(meter.isSlow(start + 1s));
    meter.record(100 * plenty, start + 1s);
    CHECK_FALSE(meter.isSlow(start + 1900ms));
    CHECK(meter.isSlow(start + 2s)); // However much it moved before.
    for (time_point now = start + 2s; now < start + 4s; now += 100ms) {
        meter.record(16, now);
    }
    CHECK(meter.isSlow(start + 4s));
    meter.restart(start + 4s);
    CHECK_FALSE(meter.isSlow(start + 4s));
}

TEST_CASE("client_ledger ends no client for memory that moves enough, holds nothing or is not awaited")
{
    client_ledger ledger;
    held_client &fast = add(ledger, "a", client_phase::Body, 1000);
    add(ledger, "a", client_phase::Body, 0);
    add(ledger, "a", client_phase::Run, 1000);
    fast.progress.record(plenty, start + 1s);
    CHECK(ledger.chooseForMemory(start + 1500ms) == nullptr);
}

TEST_CASE("client_ledger ends bodies before answers, then of the address that holds most the newest, and nobody twice")
{
    client_ledger ledger;
    held_client &answer = add(ledger, "a", client_phase::Answer, 9000);
    held_client &firstOfA = add(ledger, "a", client_phase::Body, 1000);
    held_client &newestOfA = add(ledger, "a", client_phase::Body, 10);
    held_client &onlyOfB = add(ledger, "b", client_phase::Body, 5000);
    CHECK(ledger.chooseForMemory(start + 999ms) == nullptr);
    CHECK(ledger.chooseForMemory(start + 1s) == &newestOfA);
    CHECK(ledger.chooseForMemory(start + 1s) == &firstOfA);
    CHECK(ledger.chooseForMemory(start + 1s) == &onlyOfB);
    CHECK(ledger.chooseForMemory(start + 1s) == &answer);
    CHECK(ledger.chooseForMemory(start + 1s) == nullptr);
    CHECK(ledger.size() == 0);
}

TEST_CASE("client_ledger ends closing connections first for a new one, then strangers of the largest address, then idle ones")
{
    client_ledger ledger;
    held_client &served = add(ledger, "a", client_phase::Idle, 0);
    served.wasServed = true;
    held_client &ofSmall = add(ledger, "b", client_phase::Head, 0);
    add(ledger, "a", client_phase::Run, 0);
    held_client &later = add(ledger, "a", client_phase::Head, 0, start + 1ms);
    held_client &earlier = add(ledger, "a", client_phase::Idle, 0);
    held_client &closing = add(ledger, "b", client_phase::Closing, 0);
    const time_point now = start + 500ms;
    CHECK(ledger.chooseForConnection(now) == &closing);
    CHECK(ledger.chooseForConnection(now) == &earlier);
    CHECK(ledger.chooseForConnection(now) == &later);
    CHECK(ledger.chooseForConnection(now) == &ofSmall);
    CHECK(ledger.chooseForConnection(now) == &served);
    CHECK(ledger.chooseForConnection(now) == nullptr);
    CHECK(ledger.size() == 1);
}

TEST_CASE("client_ledger forgets clients that are removed")
{
    client_ledger ledger;
    held_client &gone = add(ledger, "a", client_phase::Idle, 0);
    (void)ledger.chooseForConnection(start);
    ledger.remove(gone);
    CHECK(ledger.size() == 0);
    held_client &next = add(ledger, "a", client_phase::Idle, 0);
    CHECK(ledger.chooseForConnection(start) == &next);
}

// Guards against clients that send a head and no body: they hold hardly any memory, and would keep the port closed.
TEST_CASE("client_ledger ends for a new connection also a body that has stalled before its first byte")
{
    client_ledger ledger;
    held_client &stalled = add(ledger, "a", client_phase::Body, 0);
    CHECK(ledger.chooseForMemory(start + 1s) == nullptr);
    CHECK(ledger.chooseForConnection(start + 999ms) == nullptr);
    CHECK(ledger.chooseForConnection(start + 1s) == &stalled);
}
