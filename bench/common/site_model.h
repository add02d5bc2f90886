#pragma once

#include "banyan/core/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace banyan::bench {

/// Upstreams of one service.
struct service_model
{
    std::string name;
    std::size_t upstreams = 1;
    std::uint32_t slots = 1;
    duration stepTime = std::chrono::milliseconds(4); ///< From one token to the next.
    std::vector<double> speeds{1}; ///< Times the step time, by turns over the upstreams.
    double slowShare = 0; ///< Of the upstreams that are slow at any time.
    double slowFactor = 1;
    duration slowPeriod = std::chrono::milliseconds(600); ///< After which others are slow.
};

/// Online requests of one kind.
struct class_model
{
    std::string name;
    std::size_t service = 0;
    double rate = 0; ///< A second, in the mean.
    duration target{}; ///< To the first byte at the client.
    duration deadline{};
    double firstByteSteps = 1; ///< Until the first token.
    double tokens = 1; ///< In the mean.
    double tokenSpread = 0; ///< Standard deviation over the mean.
    double longShare = 0; ///< Of the requests, whose answers are longFactor times as long.
    double longFactor = 1;
    double worth = 1;
    double lateWorth = 0;
    std::uint32_t priority = 0;
};

/// Jobs of batch items.
struct job_model
{
    std::size_t service = 0;
    double rate = 0; ///< Jobs a second.
    double items = 10; ///< Of a job, in the mean.
    double firstByteSteps = 1; ///< Of each run, also of one that continues.
    double tokens = 1; ///< Of an item, in the mean.
    double tokenSpread = 0; ///< Standard deviation over the mean.
    duration window{}; ///< In which all items of a job are due.
    std::uint32_t priority = 2;
    double burst = 1; ///< Times the rate, while a burst of jobs lasts.
    time_point burstFrom;
    time_point burstUntil;

    /// Jobs a second at @p when.
    [[nodiscard]] double rateAt(time_point when) const;
};

/// How the online rate changes: low first, then a burst, again and again.
struct load_shape
{
    double low = 1; ///< Times the mean rate.
    double burst = 1;
    duration lowTime = std::chrono::seconds(1);
    duration burstTime = std::chrono::seconds(1);

    /// Times the mean rate at @p when.
    [[nodiscard]] double factorAt(time_point when) const;

    /// Whether @p when is within a burst.
    [[nodiscard]] bool isBurst(time_point when) const;
};

/// A time in which more is asked than usual.
struct load_surge
{
    std::optional<std::size_t> kind; ///< Whose rate rises; empty for all kinds.
    std::optional<std::size_t> caller; ///< Whose rate rises; empty for all callers.
    time_point from;
    time_point until;
    double factor = 1; ///< Times the rate.

    /// Times the rate of requests of @p ofKind by @p ofCaller at @p when.
    [[nodiscard]] double factorAt(time_point when, std::size_t ofKind, std::size_t ofCaller) const;
};

/// A fleet and its load.
struct site_model
{
    std::string name;
    std::size_t nodes = 1;
    std::vector<service_model> services;
    std::vector<class_model> classes;
    std::optional<job_model> jobs;
    load_shape shape;
    std::vector<double> callers; ///< The share of each caller in the mean rates; empty if the scheduler does not know callers.
    std::vector<load_surge> surges;
    duration clientDelay = std::chrono::milliseconds(3); ///< One way.
    duration nodeDelay = std::chrono::microseconds(700); ///< One way, between nodes and to upstreams.
};

/// The sites of the milestones by name: "niebla", "nekomori", "niebla-grown", "nekomori-grown", "niebla-large",
/// "veriga", "veriga-jobs" with a burst of jobs up to its quota, and "clachan"; "uneven", whose upstreams have
/// three speeds, and "uneven-tails", where one answer in twenty is much longer besides. The figures are those of
/// the users' sheets. @throws std::invalid_argument for another name
[[nodiscard]] site_model siteNamed(std::string_view name);

/// Names that siteNamed() takes.
[[nodiscard]] const std::vector<std::string> &siteNames();

/// Slots that the mean load keeps busy, over the slots that there are, of service @p service; above 1 not all can be served.
[[nodiscard]] double meanLoad(const site_model &site, std::size_t service);

} // namespace banyan::bench
