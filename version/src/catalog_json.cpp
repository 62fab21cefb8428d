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

} // namespace

json::object catalog_to_json(const queue_catalog& catalog)
{
    json::array queues;
    for (const auto& it : catalog->queues)
        queues.push_back(queue_to_json(it));
    json::array services;
    for (const auto& it : catalog->services)
        services.push_back(json::object{
            {"id", it.id.text()}, {"guards_capacity", it.guards_capacity}});
    return {{"revision", catalog->revision.number()},
            {"queues", std::move(queues)},
            {"services", std::move(services)},
            {"source", catalog->source}};
}

queue_catalog catalog_from_json(const json::value& source, json_fields& parent)
{
    json_fields fields(source, "catalog");
    queue_catalog_options options;
    options.revision =
        catalog_revision(fields.number("revision", 0, json_exact_limit));
    options.source = fields.text("source", source_bytes);
    if (const auto* queues = fields.array("queues"))
    {
        for (const auto& it : *queues)
            options.queues.push_back(queue_from_json(it, fields));
    }
    if (const auto* services = fields.array("services"))
    {
        for (const auto& it : *services)
            options.services.push_back(service_from_json(it, fields));
    }
    parent.absorb(fields);
    return queue_catalog(std::move(options));
}

} // namespace lagoonquay
