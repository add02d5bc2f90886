#include "banyan/core/configuration_json.h"

#include "banyan/core/configuration_error.h"
#include "json_object_reader.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <set>

namespace banyan {

namespace json = boost::json;

namespace {

constexpr std::size_t maximumConfigurationBytes = std::size_t(2) << 20;
constexpr std::size_t maximumPatchBytes = std::size_t(256) << 10;
constexpr std::size_t maximumNameLength = 64; // bytes
constexpr std::size_t maximumCallers = 10000;
constexpr std::size_t maximumOperators = 1000;
constexpr std::size_t maximumServices = 1000;
constexpr std::size_t maximumKeys = 16; // per caller or operator
constexpr std::size_t maximumModels = 64; // per service
constexpr std::size_t keyHashLength = 64; // hexadecimal digits of a SHA-256
constexpr double maximumRequestsPerSecond = 1000000;
constexpr std::uint64_t maximumVersion = 4000000000;
constexpr std::uint64_t maximumDeadlineMs = std::uint64_t(7) * 24 * 3600 * 1000;

json::value parseText(std::string_view text, std::size_t limit, const std::string &what)
{
    if (text.size() > limit) {
        rejectField(what, "at most " + std::to_string(limit) + " bytes", std::to_string(text.size()));
    }
    json::error_code error;
    json::value value = json::parse({text.data(), text.size()}, error);
    if (error) {
        rejectField(what, "JSON", error.message());
    }
    return value;
}

bool isNameCharacter(char character)
{
    const bool letter = (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
    const bool digit = character >= '0' && character <= '9';
    return letter || digit || character == '-' || character == '_' || character == '.' || character == ':';
}

/// Returns @p text if it is a valid name. Names occur in row keys, addresses and logs, so their characters are restricted.
std::string checkedName(const std::string &path, const std::string &text)
{
    const bool valid = !text.empty() && text.size() <= maximumNameLength && std::all_of(text.begin(), text.end(), isNameCharacter);
    if (!valid) {
        rejectField(path, "a name of 1 to 64 letters, digits and -_.:", describe(json::value(json::string(text))));
    }
    return text;
}

std::string stringElement(const std::string &path, const json::value &value)
{
    if (!value.is_string()) {
        rejectField(path, "a text", describe(value));
    }
    return std::string(value.get_string());
}

bool isLowerHex(char character)
{
    return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f');
}

std::vector<std::string> readKeyHashes(json_object_reader &reader)
{
    const std::string path = reader.fieldPath("key_hashes");
    std::vector<std::string> result;
    for (const json::value *element : reader.array("key_hashes", maximumKeys)) {
        const std::string hash = stringElement(path, *element);
        if (hash.size() != keyHashLength || !std::all_of(hash.begin(), hash.end(), isLowerHex)) {
            rejectField(path, "SHA-256 hashes of 64 lower-case hexadecimal digits", describe(*element));
        }
        result.push_back(hash);
    }
    return result;
}

caller_settings readCaller(const json::value &value, const std::string &path, const std::string &name)
{
    json_object_reader reader(value, path);
    caller_settings result;
    result.id = caller_id(name);
    result.keyHashes = readKeyHashes(reader);
    result.requestsPerSecond = reader.positiveNumber("requests_per_second", maximumRequestsPerSecond);
    reader.finish();
    return result;
}

operator_role readRole(json_object_reader &reader)
{
    const std::string text = reader.text("role", "viewer");
    if (text == "viewer") {
        return operator_role::Viewer;
    }
    if (text == "editor") {
        return operator_role::Editor;
    }
    rejectField(reader.fieldPath("role"), "\"viewer\" or \"editor\"", "\"" + text + "\"");
}

operator_settings readOperator(const json::value &value, const std::string &path, const std::string &name)
{
    json_object_reader reader(value, path);
    operator_settings result;
    result.id = operator_id(name);
    result.keyHashes = readKeyHashes(reader);
    result.role = readRole(reader);
    reader.finish();
    return result;
}

work_class readUrgency(json_object_reader &reader)
{
    const std::string text = reader.text("urgency", toString(work_class::Online));
    for (const work_class value : {work_class::Online, work_class::Batch}) {
        if (text == toString(value)) {
            return value;
        }
    }
    rejectField(reader.fieldPath("urgency"), "\"online\" or \"batch\"", "\"" + text + "\"");
}

access_rule readAccessRule(const json::value &value, const std::string &path)
{
    json_object_reader reader(value, path);
    access_rule result;
    result.caller = caller_id(checkedName(reader.fieldPath("caller"), reader.text("caller")));
    result.urgency = readUrgency(reader);
    reader.finish();
    return result;
}

std::vector<access_rule> readAccess(json_object_reader &reader)
{
    const std::string path = reader.fieldPath("access");
    std::vector<access_rule> result;
    std::set<caller_id> seen;
    for (const json::value *element : reader.array("access", maximumCallers)) {
        result.push_back(readAccessRule(*element, path + "[" + std::to_string(result.size()) + "]"));
        if (!seen.insert(result.back().caller).second) {
            rejectField(path, "each caller once", "\"" + result.back().caller.text() + "\" twice");
        }
    }
    return result;
}

std::vector<std::string> readModels(json_object_reader &reader, service_kind kind)
{
    const std::string path = reader.fieldPath("models");
    std::vector<std::string> result;
    for (const json::value *element : reader.array("models", maximumModels)) {
        result.push_back(checkedName(path, stringElement(path, *element)));
    }
    if (kind == service_kind::Model && result.empty()) {
        rejectField(path, "at least one model for a service of kind \"model\"", "none");
    }
    if (kind == service_kind::Plain && !result.empty()) {
        rejectField(path, "no models for a service of kind \"plain\"", std::to_string(result.size()));
    }
    return result;
}

service_kind readKind(json_object_reader &reader)
{
    const std::string text = reader.text("kind");
    if (text == "model") {
        return service_kind::Model;
    }
    if (text == "plain") {
        return service_kind::Plain;
    }
    rejectField(reader.fieldPath("kind"), "\"model\" or \"plain\"", "\"" + text + "\"");
}

service_settings readService(const json::value &value, const std::string &path, const std::string &name)
{
    json_object_reader reader(value, path);
    service_settings result;
    result.name = service_name(name);
    result.kind = readKind(reader);
    result.version = static_cast<std::uint32_t>(reader.integer("version", 1, maximumVersion, 1));
    result.pool = pool_name(checkedName(reader.fieldPath("pool"), reader.text("pool")));
    result.models = readModels(reader, result.kind);
    result.access = readAccess(reader);
    result.repeatable = reader.boolean("repeatable", result.repeatable);
    result.durable = reader.boolean("durable", result.durable);
    result.resumable = reader.boolean("resumable", result.resumable);
    result.checksFencing = reader.boolean("checks_fencing", result.checksFencing);
    const auto defaultMs = std::chrono::duration_cast<std::chrono::milliseconds>(result.defaultDeadline).count();
    const auto deadlineMs = reader.integer("default_deadline_ms", 1, maximumDeadlineMs, static_cast<std::uint64_t>(defaultMs));
    result.defaultDeadline = std::chrono::milliseconds(deadlineMs);
    result.requestsPerSecond = reader.positiveNumber("requests_per_second", maximumRequestsPerSecond);
    reader.finish();
    return result;
}

/// Reads a section, which maps names to objects, for example all callers.
template<typename Key, typename Settings, typename Read>
std::map<Key, Settings> readSection(json_object_reader &reader, std::string_view name, std::size_t maximum, Read read)
{
    std::map<Key, Settings> result;
    const json::value *const section = reader.find(name);
    if (section == nullptr) {
        return result;
    }
    if (!section->is_object()) {
        rejectField(reader.fieldPath(name), "an object", describe(*section));
    }
    if (section->get_object().size() > maximum) {
        rejectField(
            reader.fieldPath(name), "at most " + std::to_string(maximum) + " entries", std::to_string(section->get_object().size()));
    }
    for (const auto &entry : section->get_object()) {
        const std::string key = checkedName(reader.fieldPath(name), std::string(entry.key()));
        const std::string path = reader.fieldPath(name) + "." + key;
        result.emplace(Key(key), read(entry.value(), path, key));
    }
    return result;
}

/// Checks that each key belongs to one entry only, since it identifies its owner.
template<typename Section>
void checkKeysAreUnique(const Section &section, const std::string &path)
{
    std::set<std::string> seen;
    for (const auto &[id, settings] : section) {
        for (const std::string &hash : settings.keyHashes) {
            if (!seen.insert(hash).second) {
                rejectField(path + "." + id.text() + ".key_hashes", "keys of no other entry", "\"" + hash + "\" again");
            }
        }
    }
}

/// Checks that each model name belongs to one service only, since requests are routed by it.
void checkModelsAreUnique(const configuration &value)
{
    std::set<std::string> seen;
    for (const auto &[name, service] : value.services) {
        for (const std::string &model : service.models) {
            if (!seen.insert(model).second) {
                rejectField("services." + name.text() + ".models", "names that occur once", "\"" + model + "\" again");
            }
        }
    }
}

void checkReferences(const configuration &value)
{
    for (const auto &[name, service] : value.services) {
        for (const access_rule &rule : service.access) {
            if (!value.callers.contains(rule.caller)) {
                rejectField("services." + name.text() + ".access", "a caller of this configuration", "\"" + rule.caller.text() + "\"");
            }
        }
    }
}

void checkConsistency(const configuration &value)
{
    checkKeysAreUnique(value.callers, "callers");
    checkKeysAreUnique(value.operators, "operators");
    checkModelsAreUnique(value);
    checkReferences(value);
}

configuration readConfiguration(const json::value &value, configuration_version version)
{
    json_object_reader reader(value, "");
    configuration result;
    result.version = version;
    result.callers = readSection<caller_id, caller_settings>(reader, "callers", maximumCallers, readCaller);
    result.operators = readSection<operator_id, operator_settings>(reader, "operators", maximumOperators, readOperator);
    result.services = readSection<service_name, service_settings>(reader, "services", maximumServices, readService);
    reader.finish();
    checkConsistency(result);
    return result;
}

json::array toJsonArray(const std::vector<std::string> &texts)
{
    json::array result;
    for (const std::string &text : texts) {
        result.emplace_back(text);
    }
    return result;
}

json::value toJsonValue(const caller_settings &value)
{
    json::object result;
    result["key_hashes"] = toJsonArray(value.keyHashes);
    if (value.requestsPerSecond) {
        result["requests_per_second"] = *value.requestsPerSecond;
    }
    return result;
}

json::value toJsonValue(const operator_settings &value)
{
    json::object result;
    result["key_hashes"] = toJsonArray(value.keyHashes);
    result["role"] = value.role == operator_role::Editor ? "editor" : "viewer";
    return result;
}

json::array toJsonArray(const std::vector<access_rule> &rules)
{
    json::array result;
    for (const access_rule &rule : rules) {
        json::object element;
        element["caller"] = rule.caller.text();
        element["urgency"] = toString(rule.urgency);
        result.emplace_back(std::move(element));
    }
    return result;
}

json::value toJsonValue(const service_settings &value)
{
    json::object result;
    result["kind"] = value.kind == service_kind::Model ? "model" : "plain";
    result["version"] = value.version;
    result["pool"] = value.pool.text();
    result["models"] = toJsonArray(value.models);
    result["access"] = toJsonArray(value.access);
    result["repeatable"] = value.repeatable;
    result["durable"] = value.durable;
    result["resumable"] = value.resumable;
    result["checks_fencing"] = value.checksFencing;
    result["default_deadline_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(value.defaultDeadline).count();
    if (value.requestsPerSecond) {
        result["requests_per_second"] = *value.requestsPerSecond;
    }
    return result;
}

template<typename Section>
json::object toJsonObject(const Section &section)
{
    json::object result;
    for (const auto &[id, settings] : section) {
        result[id.text()] = toJsonValue(settings);
    }
    return result;
}

json::object toJsonObject(const configuration &value)
{
    json::object result;
    result["callers"] = toJsonObject(value.callers);
    result["operators"] = toJsonObject(value.operators);
    result["services"] = toJsonObject(value.services);
    return result;
}

/// Merges as defined in RFC 7396: null removes a member, objects are merged, all other values replace the target.
void mergePatch(json::value &target, const json::value &patch)
{
    if (!patch.is_object()) {
        target = patch;
        return;
    }
    if (!target.is_object()) {
        target = json::object();
    }
    json::object &object = target.get_object();
    for (const auto &member : patch.get_object()) {
        if (member.value().is_null()) {
            object.erase(member.key());
        } else {
            mergePatch(object[member.key()], member.value());
        }
    }
}

/// Merges a patch into one section entry by entry, so that the cost depends on the size of the patch and not on the size of
/// the configuration.
template<typename Key, typename Settings, typename Read>
void patchSection(std::map<Key, Settings> &section, const json::value &patch, const std::string &name, std::size_t maximum, Read read)
{
    if (patch.is_null()) {
        section.clear();
        return;
    }
    if (!patch.is_object()) {
        rejectField(name, "an object", describe(patch));
    }
    for (const auto &member : patch.get_object()) {
        const std::string key(member.key());
        if (member.value().is_null()) {
            section.erase(Key(key));
            continue;
        }
        checkedName(name, key);
        const auto existing = section.find(Key(key));
        json::value merged = existing == section.end() ? json::value(nullptr) : toJsonValue(existing->second);
        mergePatch(merged, member.value());
        std::string path = name;
        path.append(".").append(key);
        section[Key(key)] = read(merged, path, key);
    }
    if (section.size() > maximum) {
        rejectField(name, "at most " + std::to_string(maximum) + " entries", std::to_string(section.size()));
    }
}

constexpr std::size_t textOverhead = 3; // quotation marks and comma
constexpr std::size_t entryOverhead = 100; // field names and numbers of a caller or operator
constexpr std::size_t serviceOverhead = 400; // field names and numbers of a service
constexpr std::size_t accessOverhead = 40; // field names and urgency of an access rule

std::size_t bytesOf(const std::vector<std::string> &texts)
{
    std::size_t result = 0;
    for (const std::string &text : texts) {
        result += text.size() + textOverhead;
    }
    return result;
}

/// Returns an upper bound of the size of toJson(). Names contain no characters that need escaping.
std::size_t serializedSizeBound(const configuration &value)
{
    std::size_t result = entryOverhead;
    for (const auto &[id, caller] : value.callers) {
        result += entryOverhead + id.text().size() + bytesOf(caller.keyHashes);
    }
    for (const auto &[id, settings] : value.operators) {
        result += entryOverhead + id.text().size() + bytesOf(settings.keyHashes);
    }
    for (const auto &[name, service] : value.services) {
        result += serviceOverhead + name.text().size() + service.pool.text().size() + bytesOf(service.models);
        for (const access_rule &rule : service.access) {
            result += accessOverhead + rule.caller.text().size();
        }
    }
    return result;
}

void checkSize(const configuration &value)
{
    const std::size_t size = serializedSizeBound(value);
    if (size > maximumConfigurationBytes) {
        rejectField("configuration", "at most " + std::to_string(maximumConfigurationBytes) + " bytes", std::to_string(size));
    }
}

} // namespace

configuration parseConfiguration(std::string_view json, configuration_version version)
{
    return readConfiguration(parseText(json, maximumConfigurationBytes, "configuration"), version);
}

std::string toJson(const configuration &value)
{
    return json::serialize(toJsonObject(value));
}

configuration applyPatch(const configuration &base, std::string_view patchText)
{
    const json::value patch = parseText(patchText, maximumPatchBytes, "patch");
    if (!patch.is_object()) {
        rejectField("patch", "an object", describe(patch));
    }
    configuration result = base;
    ++result.version;
    for (const auto &member : patch.get_object()) {
        const std::string name(member.key());
        if (name == "callers") {
            patchSection(result.callers, member.value(), name, maximumCallers, readCaller);
        } else if (name == "operators") {
            patchSection(result.operators, member.value(), name, maximumOperators, readOperator);
        } else if (name == "services") {
            patchSection(result.services, member.value(), name, maximumServices, readService);
        } else if (!member.value().is_null()) {
            rejectField(name, "no such field", describe(member.value()));
        }
    }
    checkConsistency(result);
    checkSize(result);
    return result;
}

} // namespace banyan
