// Package rollout records changes of the operators' files in the platform's table, puts each recorded revision in force
// on this instance and tells when all instances have it.
//
// Rows of the table: config/head holds {revision, digest, author}; config/recent lists the files of the latest
// revisions, so that an instance fetches changed files only; config/file/<name> holds the content and the revision that
// recorded it. That revision is the file's version towards operators. The version of the table's row would not do: it
// starts again when a deleted file is created anew.
package rollout
