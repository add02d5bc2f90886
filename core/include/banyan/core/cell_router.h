#pragma once

#include "banyan/core/cell_id.h"
#include "banyan/core/cell_load.h"
#include "banyan/core/dispatch_request.h"
#include "banyan/core/time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace banyan {

/// Options of a cell_router.
struct cell_router_options
{
    failure_domain localDomain; ///< Failure domain of this node; its cells are preferred while they are not much busier than others.
    duration loadHalfLife = std::chrono::milliseconds(500); ///< Half-life of the weight of a load report.
    duration penalty = std::chrono::seconds(2); ///< Initial time for which a cell that is unreachable or has no slots is avoided.
    std::uint64_t seed = 1; ///< Seed of the random choice between candidates.
};

/// Chooses the cell that an entry node forwards a request to.
///
/// Keeps the last load report of each cell and the number of requests sent to it since. Draws two random candidates, the
/// first from the local failure domain if possible, and chooses the less busy one.
class cell_router
{
public:
    explicit cell_router(const cell_router_options &options);
    ~cell_router();

    /// Replaces the set of cells; those that remain keep their load reports.
    void setCells(std::span<const cell_id> cells);

    /// The cell of @p pool for @p request, without those in @p excluded (already tried); none if none is left.
    [[nodiscard]] std::optional<cell_id>
    choose(const pool_name &pool, const dispatch_request &request, std::span<const cell_id> excluded, time_point now);

    /// Records a load report that came with an answer or by gossip.
    void recordLoad(const cell_id &cell, const cell_load &load, time_point now);

    /// Records that the cell's dispatcher could not be reached.
    void markUnreachable(const cell_id &cell, time_point now);

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace banyan
