/// JSON texts that several stand-ins write.
#include "json_text.hpp"

#include <boost/json/serialize.hpp>
#include <boost/json/value_from.hpp>

namespace bronzespar::standin {

std::string errorText(const std::string &Reason) {
  return boost::json::serialize(boost::json::object{{"error", Reason}});
}

std::string countsText(const std::map<std::string, std::uint64_t> &Counts) {
  return boost::json::serialize(boost::json::value_from(Counts));
}

} // namespace bronzespar::standin
