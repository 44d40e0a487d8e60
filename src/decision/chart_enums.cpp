/// Loading of the state charts that the decision library interprets.
#include "chart_enums.hpp"

namespace bronzespar::impl {

namespace {

/// \param Kind Selects the type of the chart by deduction; its value is not
/// used.
template <class State, class Event, class Guard, class Action>
boost::leaf::result<compiled_chart<State, Event, Guard, Action>>
load(const std::string &File,
     const compiled_chart<State, Event, Guard, Action> & /*Kind*/) {
  return loadCompiledChart<State, Event, Guard, Action>(File);
}

} // namespace

boost::leaf::result<chart_set> loadCharts(const std::string &Directory) {
  chart_set Charts;
  BOOST_LEAF_ASSIGN(Charts.Request,
                    load(Directory + "/request.scxml", Charts.Request));
  BOOST_LEAF_ASSIGN(Charts.Run, load(Directory + "/run.scxml", Charts.Run));
  BOOST_LEAF_ASSIGN(Charts.Connection,
                    load(Directory + "/connection.scxml", Charts.Connection));
  BOOST_LEAF_ASSIGN(Charts.Promotion, loadPromotionChart(Directory));
  return Charts;
}

} // namespace bronzespar::impl
