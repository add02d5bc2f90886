#include "banyan/io/batch_store.h"

#include <utility>

namespace banyan {

batch_store batch_store::over(platform_client &client)
{
    return {
        .commit =
            [&client](transaction change) {
                return client.commit(std::move(change));
            },
        .read =
            [&client](std::string key) {
                return client.read(std::move(key));
            },
        .scan =
            [&client](std::string prefix, std::string after, std::size_t limit) {
                return client.scan(std::move(prefix), std::move(after), limit);
            },
        .putObject =
            [&client](std::string name, std::string bytes) {
                return client.putObject(std::move(name), std::move(bytes));
            },
        .getObject =
            [&client](std::string name) {
                return client.getObject(std::move(name));
            },
        .deleteObject =
            [&client](std::string name) {
                return client.deleteObject(std::move(name));
            },
    };
}

} // namespace banyan
