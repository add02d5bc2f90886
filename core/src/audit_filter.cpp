#include "banyan/core/audit_filter.h"

namespace banyan {

bool audit_filter::matches(const audit_record &record) const
{
    const bool inTime = (!from || record.time >= *from) && (!until || record.time < *until);
    const bool ofKind = !kind || record.kind == *kind;
    const bool ofActor = !actor || record.actor == *actor;
    const bool ofOutcome = !accepted || record.accepted == *accepted;
    return inTime && ofKind && ofActor && ofOutcome;
}

} // namespace banyan
