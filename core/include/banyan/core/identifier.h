#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace banyan {

/// A text identifier whose type prevents mixing it up with identifiers of another kind.
///
/// @code
/// caller_id caller("niebla-ops");
/// service_name service("advisory");
/// // caller = service;   does not compile
/// @endcode
template<typename Tag>
class identifier
{
public:
    identifier() = default;

    /// Wraps @p text without validation.
    explicit identifier(std::string text)
        : m_text(std::move(text))
    {
    }

    /// The identifier's text.
    [[nodiscard]] const std::string &text() const
    {
        return m_text;
    }

    /// Whether the text is empty.
    [[nodiscard]] bool empty() const
    {
        return m_text.empty();
    }

    auto operator<=>(const identifier &) const = default;

    friend std::ostream &operator<<(std::ostream &out, const identifier &value)
    {
        return out << value.m_text;
    }

private:
    std::string m_text;
};

/// A process of the system, unique to each start of the process.
using node_id = identifier<struct node_tag>;
/// A VM of the platform's list.
using vm_id = identifier<struct vm_tag>;
/// A set of VMs that tend to fail together.
using failure_domain = identifier<struct failure_domain_tag>;
/// An organisation or program that sends requests, identified by its keys.
using caller_id = identifier<struct caller_tag>;
/// A person or program that changes the configuration.
using operator_id = identifier<struct operator_tag>;
/// A back end that runs requests: a model engine or a plain service.
using upstream_id = identifier<struct upstream_tag>;
/// A group of interchangeable upstreams.
using pool_name = identifier<struct pool_tag>;
/// A named service of the configuration.
using service_name = identifier<struct service_tag>;
/// One request of a caller, or one run of a batch item.
using request_id = identifier<struct request_tag>;
/// One batch job.
using job_id = identifier<struct job_tag>;

} // namespace banyan

template<typename Tag>
struct std::hash<banyan::identifier<Tag>>
{
    std::size_t operator()(const banyan::identifier<Tag> &value) const noexcept
    {
        return std::hash<std::string>()(value.text());
    }
};
