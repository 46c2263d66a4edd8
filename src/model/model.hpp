// Includes all types of the data model: jobs, machines, heartbeats and progress.
#pragma once

#include "model/category_averages.hpp"
#include "model/heartbeat.hpp"
#include "model/job.hpp"
#include "model/machine.hpp"
#include "model/progress.hpp"
#include "model/resources.hpp"
