package metric

import "strings"

// help holds the help text of each metric, by its name without the prefix.
var help = map[string]string{
	"answers_undelivered":         "Answers that were written and, as far as the VM can tell, not delivered, by how it noticed.",
	"configuration_version":       "Version of the configuration in force.",
	"cut_off":                     "1 if this VM reaches no endpoint, else 0.",
	"duty_held":                   "1 if this VM holds a duty of one VM at a time, else 0.",
	"duty_transitions":            "How often this VM acquired, lost or released a duty, by reason.",
	"endpoint_oddities":           "Tries at endpoints with something unusual, by kind.",
	"endpoint_outcomes":           "Tries at endpoints, by how they ended.",
	"endpoints_known":             "Endpoints in the directory.",
	"endpoints_limited":           "Endpoints that have named a limit of requests a second.",
	"heads_refused":               "Requests refused, and connections closed, before a handler began, by cause.",
	"interrupted_requests":        "Requests that the end of this VM interrupted and that may have run, or were being answered, by kind of work.",
	"knowledge_age_seconds":       "How old the copy of a kind of object may be: time since this VM, or a peer that knows no newer change, sent a call that the store answered.",
	"limit_admitted_later":        "Requests that were admitted after a wait for their workspace's rate.",
	"limit_bytes_from_peers":      "Room on links that peers lent, in bytes.",
	"limit_peers_asked":           "Requests that a peer was asked to admit.",
	"limit_peers_unanswered":      "Questions to peers for admission that got no answer.",
	"limit_refused":               "Requests over their workspace's rate.",
	"limited_sends":               "Sends to endpoints that have named a limit, by whether the request was sent before.",
	"log_lines_dropped":           "Log lines that were not written, by kind.",
	"operator_commands":           "Operators' commands, by command and outcome.",
	"peers_heard":                 "Other VMs that were heard lately.",
	"refusals":                    "Requests that got no endpoint's answer, by reason.",
	"request_seconds":             "Time from a request's arrival to its answer's end, by kind of work and outcome.",
	"requests_blocked":            "Different requests that are not sent, because endpoints ended while they ran them.",
	"reserved_refusals":           "Requests that found only room which is reserved for higher priorities, by service. Some got room later.",
	"retries":                     "Second sends of requests, by the reason why the first failed.",
	"room_wait_seconds":           "Time that requests waited for room at an endpoint, by rank (priority of the workspace and of the route) and how the wait ended.",
	"store_calls":                 "Calls to the store, by kind of object and outcome.",
	"store_era":                   "How often the store came back from a copy.",
	"store_retries":               "Repeated calls to the store, by reason.",
	"usage_calls":                 "Calls of the metering interface, by status.",
	"usage_oldest_frozen_seconds": "Time since the end of the oldest usage window that is frozen and not acknowledged.",
	"usage_vms_lacking":           "VMs whose last counts the usage window that was frozen last lacks.",
	"usage_windows":               "Windows of usage reports, by outcome.",
	"waiting_requests":            "Requests that wait at this VM for room at an endpoint.",
	"workspace_demand":            "Requests a second that this VM was asked for, by workspace with a rate.",
}

// Help returns the help text of a metric.
func Help(name string) string {
	if text, found := help[strings.TrimPrefix(name, prefix+"_")]; found {
		return text
	}
	return "Not described."
}

// Names returns the names of all metrics that have a help text, without the
// prefix, in no particular order.
func Names() (names []string) {
	for name := range help {
		names = append(names, name)
	}
	return names
}
