#include "banyan/core/cell_id.h"

namespace banyan {

std::string cell_id::toString() const
{
    return pool.text() + "/" + domain.text() + "/" + std::to_string(shard);
}

} // namespace banyan
