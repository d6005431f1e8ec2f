// Package jyexplain shows the outcome of one request from the logs of several instances, together with what the instances
// believed of the backend servers involved. It finds events by their numbers, so it also reads logs with older messages.
package jyexplain
