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
    failure_domain localDomain; ///< Preferred while it is not busier than the others.
    duration loadHalfLife = std::chrono::milliseconds(500); ///< How fast a load report loses its weight.
    duration penalty = std::chrono::seconds(2); ///< How long a cell that could not be reached is avoided.
    std::uint64_t seed = 1; ///< For the choice between candidates.
};

/// An entry node's choice of the cell that a request goes to.
///
/// Knows of each cell the last load report and what this node itself has sent since. Takes two random candidates,
/// those of the local failure domain first, and picks the less busy one.
class cell_router
{
public:
    explicit cell_router(const cell_router_options &options);
    ~cell_router();

    /// Replaces the known cells.
    void setCells(std::span<const cell_id> cells);

    /// The cell for @p request in @p pool, leaving out those in @p excluded (already tried); none if none is left.
    [[nodiscard]] std::optional<cell_id>
    choose(const pool_name &pool, const dispatch_request &request, std::span<const cell_id> excluded, time_point now);

    /// Takes in a load report that came with an answer or by gossip.
    void recordLoad(const cell_id &cell, const cell_load &load, time_point now);

    /// Notes that the cell's dispatcher could not be reached.
    void markUnreachable(const cell_id &cell, time_point now);

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace banyan
