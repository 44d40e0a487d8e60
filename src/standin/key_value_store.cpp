/// The stand-in platform's store.
#include <bronzespar/standin/key_value_store.hpp>

#include <algorithm>
#include <set>

namespace bronzespar::standin {

namespace {

/// End of a range that has no upper bound.
const std::string NoBound(1, '\0');

void record(key_value_store &Store, store_event Event) {
  Store.History.push_back(std::move(Event));
  if (Store.History.size() <= HistoryLimit)
    return;
  // Events of one revision are dropped together.
  Store.Compacted = Store.History.front().Value.ModRevision;
  while (!Store.History.empty() &&
         Store.History.front().Value.ModRevision <= Store.Compacted)
    Store.History.pop_front();
}

void putValue(key_value_store &Store, const put_operation &Put,
              std::int64_t Revision) {
  stored_value &Value = Store.Values[Put.Key];
  if (Value.Version == 0)
    Value.CreateRevision = Revision;
  Value.Key = Put.Key;
  Value.Value = Put.Value;
  Value.ModRevision = Revision;
  ++Value.Version;
  Value.Lease = Put.Lease;
  record(Store, {false, Value});
}

std::int64_t deleteValues(key_value_store &Store, const key_range &Keys,
                          std::int64_t Revision) {
  std::int64_t Deleted = 0;
  for (auto Next = Store.Values.begin(); Next != Store.Values.end();) {
    const auto Value = Next++;
    if (!contains(Keys, Value->first))
      continue;
    stored_value Gone;
    Gone.Key = Value->first;
    Gone.ModRevision = Revision;
    Store.Values.erase(Value);
    record(Store, {true, std::move(Gone)});
    ++Deleted;
  }
  return Deleted;
}

range_result readValues(const key_value_store &Store,
                        const range_operation &Range) {
  range_result Result;
  for (const auto &[Key, Value] : Store.Values) {
    if (!contains(Range.Keys, Key))
      continue;
    ++Result.Count;
    const bool Full = Range.Limit != 0 && Result.Count > Range.Limit;
    if (Range.CountOnly || Full)
      continue;
    Result.Values.push_back(Value);
    if (Range.KeysOnly)
      Result.Values.back().Value.clear();
  }
  return Result;
}

std::optional<std::string> findPutFault(const key_value_store &Store,
                                        const put_operation &Put) {
  if (Put.Key.empty())
    return "etcdserver: key is not provided";
  if (Put.Value.size() > ValueLimit)
    return "the value of '" + Put.Key + "' has " +
           std::to_string(Put.Value.size()) + " bytes; the limit is " +
           std::to_string(ValueLimit);
  if (Put.Lease != 0 && Store.Leases.count(Put.Lease) == 0)
    return "etcdserver: requested lease not found";
  return std::nullopt;
}

template <class T> bool compares(compare_result Result, T Left, T Right) {
  switch (Result) {
  case compare_result::Equal:
    return Left == Right;
  case compare_result::Greater:
    return Left > Right;
  case compare_result::Less:
    return Left < Right;
  case compare_result::NotEqual:
    return Left != Right;
  }
  return false;
}

std::int64_t numberOf(const stored_value &Value, compare_target Target) {
  switch (Target) {
  case compare_target::Version:
    return Value.Version;
  case compare_target::Create:
    return Value.CreateRevision;
  case compare_target::Mod:
    return Value.ModRevision;
  case compare_target::Lease:
    return Value.Lease;
  case compare_target::Value:
    break;
  }
  return 0;
}

bool holdsOne(const key_value_store &Store, const store_compare &Compare) {
  static const stored_value Absent;
  const auto Found = Store.Values.find(Compare.Key);
  const bool IsThere = Found != Store.Values.end();
  const stored_value &Value = IsThere ? Found->second : Absent;
  if (Compare.Target != compare_target::Value)
    return compares(Compare.Result, numberOf(Value, Compare.Target),
                    Compare.Number);
  // As in etcd, a comparison of an absent key's value never holds.
  return IsThere && compares<const std::string &>(Compare.Result, Value.Value,
                                                  Compare.Text);
}

operation_result runOne(key_value_store &Store,
                        const store_operation &Operation,
                        std::int64_t Revision) {
  if (const auto *Range = std::get_if<range_operation>(&Operation))
    return readValues(Store, *Range);
  if (const auto *Put = std::get_if<put_operation>(&Operation)) {
    putValue(Store, *Put, Revision);
    return put_result{};
  }
  const auto &Delete = std::get<delete_operation>(Operation);
  return delete_result{deleteValues(Store, Delete.Keys, Revision)};
}

std::int64_t freeLease(key_value_store &Store) {
  do {
    ++Store.LastLease;
  } while (Store.Leases.count(Store.LastLease) != 0);
  return Store.LastLease;
}

bool hasChanged(const operation_result &Result) {
  if (const auto *Delete = std::get_if<delete_result>(&Result))
    return Delete->Deleted > 0;
  return std::holds_alternative<put_result>(Result);
}

} // namespace

bool contains(const key_range &Keys, const std::string &Key) {
  if (Keys.End.empty())
    return Key == Keys.Key;
  return Key >= Keys.Key && (Keys.End == NoBound || Key < Keys.End);
}

std::optional<std::string>
findFault(const key_value_store &Store,
          const std::vector<store_operation> &Operations) {
  std::set<std::string> PutKeys;
  for (const store_operation &Operation : Operations) {
    const auto *Put = std::get_if<put_operation>(&Operation);
    if (!Put)
      continue;
    if (auto Fault = findPutFault(Store, *Put))
      return Fault;
    if (!PutKeys.insert(Put->Key).second)
      return "etcdserver: duplicate key given in txn request";
  }
  return std::nullopt;
}

std::vector<operation_result>
runOperations(key_value_store &Store,
              const std::vector<store_operation> &Operations) {
  const std::int64_t Revision = Store.Revision + 1;
  std::vector<operation_result> Results;
  Results.reserve(Operations.size());
  for (const store_operation &Operation : Operations)
    Results.push_back(runOne(Store, Operation, Revision));
  if (std::any_of(Results.begin(), Results.end(), hasChanged))
    Store.Revision = Revision;
  return Results;
}

bool holds(const key_value_store &Store,
           const std::vector<store_compare> &Compares) {
  return std::all_of(Compares.begin(), Compares.end(),
                     [&Store](const store_compare &Compare) {
                       return holdsOne(Store, Compare);
                     });
}

transaction_result runTransaction(key_value_store &Store,
                                  const store_transaction &Transaction) {
  transaction_result Result;
  Result.Succeeded = holds(Store, Transaction.Compares);
  Result.Results = runOperations(Store, Result.Succeeded ? Transaction.Success
                                                         : Transaction.Failure);
  return Result;
}

std::optional<std::int64_t> grantLease(key_value_store &Store, std::int64_t Id,
                                       std::int64_t Seconds, instant Now) {
  if (Id == 0)
    Id = freeLease(Store);
  const store_lease Lease{Seconds, Now + std::chrono::seconds(Seconds)};
  if (!Store.Leases.emplace(Id, Lease).second)
    return std::nullopt;
  return Id;
}

std::int64_t keepLease(key_value_store &Store, std::int64_t Id, instant Now) {
  const auto Found = Store.Leases.find(Id);
  if (Found == Store.Leases.end())
    return 0;
  Found->second.ExpiresAt = Now + std::chrono::seconds(Found->second.Seconds);
  return Found->second.Seconds;
}

bool revokeLease(key_value_store &Store, std::int64_t Id) {
  if (Store.Leases.erase(Id) == 0)
    return false;
  std::vector<store_operation> Deletes;
  for (const auto &[Key, Value] : Store.Values) {
    if (Value.Lease == Id)
      Deletes.emplace_back(delete_operation{{Key, {}}});
  }
  runOperations(Store, Deletes);
  return true;
}

void expireLeases(key_value_store &Store, instant Now) {
  std::vector<std::int64_t> Expired;
  for (const auto &[Id, Lease] : Store.Leases) {
    if (Lease.ExpiresAt <= Now)
      Expired.push_back(Id);
  }
  for (const std::int64_t Id : Expired)
    static_cast<void>(revokeLease(Store, Id));
}

std::vector<store_event> eventsSince(const key_value_store &Store,
                                     const key_range &Keys,
                                     std::int64_t Revision) {
  const auto First =
      std::partition_point(Store.History.begin(), Store.History.end(),
                           [Revision](const store_event &Event) {
                             return Event.Value.ModRevision < Revision;
                           });
  std::vector<store_event> Events;
  std::copy_if(First, Store.History.end(), std::back_inserter(Events),
               [&Keys](const store_event &Event) {
                 return contains(Keys, Event.Value.Key);
               });
  return Events;
}

} // namespace bronzespar::standin
