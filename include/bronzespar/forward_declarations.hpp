/// Forward declarations of the project's types, for headers that do not need
/// their definitions.
#pragma once

namespace bronzespar {

struct endpoint;
struct log_position;
struct fleet_settings;
struct host_settings;
struct session_state;
struct group_view;
struct membership_state;
struct promotion_state;
struct state_chart;
struct token_bucket;
struct rate_share_state;
struct fair_queue;
struct key_table;
struct request_trace;
struct caller_request;
struct caller_answer;
struct host_state;
class secret;

} // namespace bronzespar
