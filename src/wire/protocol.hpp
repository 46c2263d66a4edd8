// All protocols but that between controllers, for includers that need several.
#pragma once

#include "wire/cloud_protocol.hpp"
#include "wire/job_id.hpp"
#include "wire/json_reader.hpp"
#include "wire/store_protocol.hpp"
#include "wire/user_protocol.hpp"
#include "wire/worker_protocol.hpp"
