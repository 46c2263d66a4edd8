// All of the plain data that users want, and that agents and the cloud were seen to do.
#pragma once

#include "model/category_averages.hpp"
#include "model/heartbeat.hpp"
#include "model/job.hpp"
#include "model/machine.hpp"
#include "model/progress.hpp"
#include "model/resources.hpp"
