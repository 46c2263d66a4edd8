// Includes the headers of all protocols except the one between controllers.
#pragma once

#include "wire/cloud_protocol.hpp"
#include "wire/job_id.hpp"
#include "wire/json_reader.hpp"
#include "wire/store_protocol.hpp"
#include "wire/user_protocol.hpp"
#include "wire/worker_protocol.hpp"
