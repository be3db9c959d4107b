// Package rollout records changes of the operators' configuration files in the platform's table, activates each recorded
// revision on this instance and reports when all instances have activated it.
//
// Rows of the table: config/head holds the revision, the digest and the author. config/recent lists the files changed by
// the latest revisions, so that an instance reads changed files only. config/file/<name> holds the content of a file and
// the revision that recorded it. Operators see this revision as the version of the file. The version of the row is
// unsuitable, because it starts again when a deleted file is created anew.
package rollout
