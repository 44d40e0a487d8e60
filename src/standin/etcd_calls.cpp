/// Calls of the etcd v3 JSON mapping, other than watches.
#include "etcd_calls.hpp"

#include "etcd_answers.hpp"
#include "etcd_requests.hpp"

#include <boost/leaf/handle_errors.hpp>

#include <string_view>

namespace bronzespar::standin {

namespace leaf = boost::leaf;

namespace {

constexpr std::int64_t LongestLeaseSeconds = 9'000'000'000;

leaf::error_id fault(const std::string &Reason) {
  return leaf::new_error(standin_fault{Reason});
}

leaf::result<std::string> callOperation(key_value_store &Store,
                                        const store_operation &Operation) {
  if (const auto Reason = findFault(Store, {Operation}))
    return fault(*Reason);
  const auto Results = runOperations(Store, {Operation});
  return operationText(Results.front(), Store.Revision);
}

leaf::result<std::string>
callTransaction(key_value_store &Store, const store_transaction &Transaction) {
  for (const auto *Branch : {&Transaction.Success, &Transaction.Failure}) {
    if (const auto Reason = findFault(Store, *Branch))
      return fault(*Reason);
  }
  return transactionText(runTransaction(Store, Transaction), Store.Revision);
}

leaf::result<std::string> callGrant(key_value_store &Store,
                                    const lease_request &Request, instant Now) {
  if (Request.Seconds <= 0 || Request.Seconds > LongestLeaseSeconds)
    return fault("TTL is not from 1 to " + std::to_string(LongestLeaseSeconds));
  const auto Id = grantLease(Store, Request.Id, Request.Seconds, Now);
  if (!Id)
    return fault("etcdserver: lease already exists");
  return leaseGrantText(*Id, Request.Seconds, Store.Revision);
}

leaf::result<std::string> callRevoke(key_value_store &Store,
                                     const lease_request &Request) {
  if (!revokeLease(Store, Request.Id))
    return fault("etcdserver: requested lease not found");
  return headerText(Store.Revision);
}

leaf::result<std::string> dispatchLease(key_value_store &Store,
                                        const std::string &Name,
                                        const std::string &Body, instant Now) {
  BOOST_LEAF_AUTO(Request, parseLease(Body));
  if (Name == "lease_grant")
    return callGrant(Store, Request, Now);
  if (Name == "lease_revoke")
    return callRevoke(Store, Request);
  return leaseKeepText(Request.Id, keepLease(Store, Request.Id, Now),
                       Store.Revision);
}

leaf::result<std::string> dispatch(key_value_store &Store,
                                   const std::string &Name,
                                   const std::string &Body, instant Now) {
  if (Name == "range") {
    BOOST_LEAF_AUTO(Range, parseRange(Body));
    return callOperation(Store, Range);
  }
  if (Name == "put") {
    BOOST_LEAF_AUTO(Put, parsePut(Body));
    return callOperation(Store, Put);
  }
  if (Name == "delete_range") {
    BOOST_LEAF_AUTO(Delete, parseDelete(Body));
    return callOperation(Store, Delete);
  }
  if (Name == "txn") {
    BOOST_LEAF_AUTO(Transaction, parseTransaction(Body));
    return callTransaction(Store, Transaction);
  }
  return dispatchLease(Store, Name, Body, Now);
}

etcd_answer errorAnswer(const std::string &Reason) {
  const bool Missing = Reason.find("lease not found") != std::string::npos;
  if (Missing)
    return {404, etcdErrorText(Reason, NotFoundCode)};
  return {400, etcdErrorText(Reason, InvalidArgumentCode)};
}

} // namespace

std::string callName(const std::string &Path) {
  struct path_name {
    std::string_view Path;
    std::string_view Name;
  };
  constexpr path_name Names[] = {{"/v3/kv/range", "range"},
                                 {"/v3/kv/put", "put"},
                                 {"/v3/kv/deleterange", "delete_range"},
                                 {"/v3/kv/txn", "txn"},
                                 {"/v3/lease/grant", "lease_grant"},
                                 {"/v3/lease/keepalive", "lease_keepalive"},
                                 {"/v3/lease/revoke", "lease_revoke"},
                                 {"/v3/kv/lease/revoke", "lease_revoke"},
                                 {"/v3/watch", "watch"}};
  for (const path_name &Known : Names) {
    if (Known.Path == Path)
      return std::string(Known.Name);
  }
  return {};
}

etcd_answer callStore(key_value_store &Store, const std::string &Path,
                      const std::string &Body, instant Now) {
  const std::string Name = callName(Path);
  if (Name.empty() || Name == "watch")
    return {404, etcdErrorText("unknown path " + Path, NotFoundCode)};
  return leaf::try_handle_all(
      [&]() -> leaf::result<etcd_answer> {
        BOOST_LEAF_AUTO(Text, dispatch(Store, Name, Body, Now));
        return etcd_answer{200, std::move(Text)};
      },
      [](const standin_fault &Fault) { return errorAnswer(Fault.Reason); },
      []() { return errorAnswer("malformed request"); });
}

} // namespace bronzespar::standin
