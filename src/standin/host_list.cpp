/// The platform's list of hosts.
#include "host_list.hpp"

#include <bronzespar/endpoint.hpp>

#include <boost/describe/class.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_from.hpp>
#include <boost/json/value_to.hpp>

namespace bronzespar::standin {

namespace json = boost::json;
namespace leaf = boost::leaf;

/// \brief A host as it stands in the list's JSON.
struct host_entry {
  std::string Id;
  std::string DataCentre;
  endpoint Peers;
  bool Leaving = false;
};
BOOST_DESCRIBE_STRUCT(host_entry, (), (Id, DataCentre, Peers, Leaving))

namespace {

leaf::error_id faultOf(std::size_t Number, const std::string &Reason) {
  return leaf::new_error(
      standin_fault{"host " + std::to_string(Number) + ": " + Reason});
}

leaf::result<json::value> checkEntry(json::value Given, std::size_t Number) {
  if (!Given.is_object())
    return faultOf(Number, "not an object");
  Given.get_object().emplace("Leaving", false);
  const auto Entry = json::try_value_to<host_entry>(Given);
  if (!Entry)
    return faultOf(Number, Entry.error().message());
  if (Entry->Id.empty())
    return faultOf(Number, "Id is empty");
  if (!parseEndpoint(toText(Entry->Peers)))
    return faultOf(Number, "Peers is not an address and port");
  return json::value_from(*Entry);
}

} // namespace

leaf::result<std::string> checkHostList(const std::string &Text) {
  boost::system::error_code Error;
  const json::value Parsed = json::parse(Text, Error);
  if (Error)
    return leaf::new_error(standin_fault{"malformed JSON: " + Error.message()});
  if (!Parsed.is_array())
    return leaf::new_error(standin_fault{"the host list is not an array"});
  json::array Checked;
  for (const json::value &Given : Parsed.get_array()) {
    BOOST_LEAF_AUTO(Entry, checkEntry(Given, Checked.size() + 1));
    Checked.push_back(std::move(Entry));
  }
  return json::serialize(Checked);
}

void replaceHostList(host_list &List, std::string Text, instant Now,
                     duration Lag) {
  List.Coming.push_back({Now + Lag, std::move(Text)});
}

const std::string &seenHostList(host_list &List, instant Now) {
  while (!List.Coming.empty() && List.Coming.front().SeenFrom <= Now) {
    List.Text = std::move(List.Coming.front().Text);
    List.Coming.pop_front();
  }
  return List.Text;
}

} // namespace bronzespar::standin
