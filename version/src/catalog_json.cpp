#include "catalog_json.hpp"

#include <limits>

namespace json = boost::json;

namespace lagoonquay
{

namespace
{

constexpr std::size_t name_bytes = 256;
constexpr std::size_t path_bytes = 4096;
constexpr std::size_t source_bytes = 16UL * 1024 * 1024;
constexpr double thousandths = 1000;

json::object queue_to_json(const job_queue& it)
{
    return {{"id", it.id.text()},
            {"host", it.host},
            {"prefix", it.prefix},
            {"service", it.service.text()},
            {"time_limit_us", it.time_limit.count()},
            {"target_us", it.target.count()},
            {"priority", it.priority},
            {"max_attempts", it.max_attempts},
            {"stretch_milli",
             static_cast<std::uint64_t>(it.stretch * thousandths)}};
}

std::uint32_t small_number(json_fields& fields, std::string_view key)
{
    return static_cast<std::uint32_t>(
        fields.number(key, 0, std::numeric_limits<std::uint32_t>::max()));
}

duration span(json_fields& fields, std::string_view key)
{
    return duration(fields.number(key, 0, json_exact_limit));
}

job_queue queue_from_json(const json::value& source, json_fields& parent)
{
    json_fields fields(source, "queue");
    job_queue it;
    it.id = queue_id(fields.text("id", name_bytes));
    it.host = fields.text("host", name_bytes);
    it.prefix = fields.text("prefix", path_bytes);
    it.service = service_id(fields.text("service", name_bytes));
    it.time_limit = span(fields, "time_limit_us");
    it.target = span(fields, "target_us");
    it.priority = small_number(fields, "priority");
    it.max_attempts = small_number(fields, "max_attempts");
    it.stretch = small_number(fields, "stretch_milli") / thousandths;
    parent.absorb(fields);
    return it;
}

worker_service service_from_json(const json::value& source, json_fields& parent)
{
    json_fields fields(source, "service");
    worker_service it{service_id(fields.text("id", name_bytes)),
                      fields.flag_or("guards_capacity", false)};
    parent.absorb(fields);
    return it;
}

json::array queues_to_json(const std::vector<job_queue>& queues)
{
    json::array array;
    for (const auto& it : queues)
        array.push_back(queue_to_json(it));
    return array;
}

json::array services_to_json(const std::vector<worker_service>& services)
{
    json::array array;
    for (const auto& it : services)
        array.push_back(json::object{{"id", it.id.text()},
                                     {"guards_capacity", it.guards_capacity}});
    return array;
}

//! @return the values of a list, each read by `read`.
template <typename Value>
std::vector<Value> list_from_json(json_fields& fields, std::string_view key,
                                  Value (*read)(const json::value&,
                                                json_fields&))
{
    std::vector<Value> values;
    const auto* source = fields.array(key);
    if (source == nullptr)
        return values;
    for (const auto& it : *source)
        values.push_back(read(it, fields));
    return values;
}

catalog_revision revision_from_json(json_fields& fields, std::string_view key)
{
    return catalog_revision(fields.number(key, 0, json_exact_limit));
}

json::object place_to_json(const queue_place& it)
{
    return {{"host", it.host}, {"prefix", it.prefix}};
}

queue_place place_from_json(const json::value& source, json_fields& parent)
{
    json_fields fields(source, "place");
    queue_place it{fields.text("host", name_bytes),
                   fields.text("prefix", path_bytes)};
    parent.absorb(fields);
    return it;
}

} // namespace

json::object catalog_to_json(const queue_catalog& catalog)
{
    return {{"revision", catalog->revision.number()},
            {"queues", queues_to_json(catalog->queues)},
            {"services", services_to_json(catalog->services)},
            {"source", catalog->source}};
}

queue_catalog catalog_from_json(const json::value& source, json_fields& parent)
{
    json_fields fields(source, "catalog");
    queue_catalog_options options;
    options.revision = revision_from_json(fields, "revision");
    options.source = fields.text("source", source_bytes);
    options.queues = list_from_json(fields, "queues", queue_from_json);
    options.services = list_from_json(fields, "services", service_from_json);
    parent.absorb(fields);
    return queue_catalog(std::move(options));
}

json::object catalog_changes_to_json(const catalog_changes& changes)
{
    json::array gone;
    for (const auto& it : changes.gone)
        gone.push_back(place_to_json(it));
    return {{"from", changes.from.number()},
            {"to", changes.to.number()},
            {"gone", std::move(gone)},
            {"changed", queues_to_json(changes.changed)},
            {"services", services_to_json(changes.services)}};
}

catalog_changes catalog_changes_from_json(const json::value& source,
                                          json_fields& parent)
{
    json_fields fields(source, "queue_changes");
    catalog_changes changes;
    changes.from = revision_from_json(fields, "from");
    changes.to = revision_from_json(fields, "to");
    changes.gone = list_from_json(fields, "gone", place_from_json);
    changes.changed = list_from_json(fields, "changed", queue_from_json);
    changes.services = list_from_json(fields, "services", service_from_json);
    parent.absorb(fields);
    return changes;
}

} // namespace lagoonquay
