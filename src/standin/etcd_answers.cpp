/// Answers of the etcd v3 JSON mapping, written by Boost.JSON.
#include "etcd_answers.hpp"

#include <bronzespar/base64.hpp>

#include <boost/json/serialize.hpp>

#include <iterator>

namespace bronzespar::standin {

namespace json = boost::json;

namespace {

json::object header(std::int64_t Revision) {
  return {{"cluster_id", "1"},
          {"member_id", "1"},
          {"revision", std::to_string(Revision)},
          {"raft_term", "1"}};
}

/// The gateway leaves zeros out.
void addNumber(json::object &Object, std::string_view Name,
               std::int64_t Number) {
  if (Number != 0)
    Object[Name] = std::to_string(Number);
}

json::object toJson(const stored_value &Value) {
  json::object Object{{"key", encodeBase64(Value.Key)}};
  addNumber(Object, "create_revision", Value.CreateRevision);
  addNumber(Object, "mod_revision", Value.ModRevision);
  addNumber(Object, "version", Value.Version);
  if (!Value.Value.empty())
    Object["value"] = encodeBase64(Value.Value);
  addNumber(Object, "lease", Value.Lease);
  return Object;
}

json::object toJson(const range_result &Result, std::int64_t Revision) {
  json::object Object{{"header", header(Revision)}};
  json::array Values;
  for (const stored_value &Value : Result.Values)
    Values.emplace_back(toJson(Value));
  if (!Values.empty())
    Object["kvs"] = std::move(Values);
  if (!Result.Values.empty() &&
      static_cast<std::int64_t>(Result.Values.size()) < Result.Count)
    Object["more"] = true;
  addNumber(Object, "count", Result.Count);
  return Object;
}

json::object toJson(const operation_result &Result, std::int64_t Revision) {
  if (const auto *Range = std::get_if<range_result>(&Result))
    return toJson(*Range, Revision);
  json::object Object{{"header", header(Revision)}};
  if (const auto *Delete = std::get_if<delete_result>(&Result))
    addNumber(Object, "deleted", Delete->Deleted);
  return Object;
}

std::string_view responseName(const operation_result &Result) {
  constexpr std::string_view Names[] = {"response_range", "response_put",
                                        "response_delete_range"};
  static_assert(std::variant_size_v<operation_result> == std::size(Names));
  return Names[Result.index()];
}

json::object toJson(const store_event &Event) {
  json::object Object;
  if (Event.Deleted)
    Object["type"] = "DELETE";
  Object["kv"] = toJson(Event.Value);
  return Object;
}

std::string watchLine(json::object Result) {
  return json::serialize(json::object{{"result", std::move(Result)}}) + "\n";
}

} // namespace

std::string headerText(std::int64_t Revision) {
  return json::serialize(json::object{{"header", header(Revision)}});
}

std::string operationText(const operation_result &Result,
                          std::int64_t Revision) {
  return json::serialize(toJson(Result, Revision));
}

std::string transactionText(const transaction_result &Result,
                            std::int64_t Revision) {
  json::object Answer{{"header", header(Revision)}};
  if (Result.Succeeded)
    Answer["succeeded"] = true;
  json::array Responses;
  for (const operation_result &One : Result.Results)
    Responses.emplace_back(
        json::object{{responseName(One), toJson(One, Revision)}});
  if (!Responses.empty())
    Answer["responses"] = std::move(Responses);
  return json::serialize(Answer);
}

std::string leaseGrantText(std::int64_t Id, std::int64_t Seconds,
                           std::int64_t Revision) {
  return json::serialize(json::object{{"header", header(Revision)},
                                      {"ID", std::to_string(Id)},
                                      {"TTL", std::to_string(Seconds)}});
}

std::string leaseKeepText(std::int64_t Id, std::int64_t Seconds,
                          std::int64_t Revision) {
  json::object Result{{"header", header(Revision)}, {"ID", std::to_string(Id)}};
  addNumber(Result, "TTL", Seconds);
  return json::serialize(json::object{{"result", std::move(Result)}}) + "\n";
}

std::string watchCreatedText(std::int64_t Revision) {
  return watchLine({{"header", header(Revision)}, {"created", true}});
}

std::string watchEventsText(std::int64_t Revision,
                            const std::vector<store_event> &Events) {
  json::array List;
  for (const store_event &Event : Events)
    List.emplace_back(toJson(Event));
  return watchLine({{"header", header(Revision)}, {"events", std::move(List)}});
}

std::string watchProgressText(std::int64_t Revision) {
  return watchLine({{"header", header(Revision)}});
}

std::string watchCompactedText(std::int64_t Revision, std::int64_t Compacted) {
  return watchLine({{"header", header(Revision)},
                    {"canceled", true},
                    {"compact_revision", std::to_string(Compacted)}});
}

std::string etcdErrorText(const std::string &Reason, int Code) {
  return json::serialize(
      json::object{{"error", Reason}, {"code", Code}, {"message", Reason}});
}

} // namespace bronzespar::standin
