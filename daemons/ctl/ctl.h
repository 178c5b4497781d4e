/* pimentoctl: declarations shared by its modules. */
#ifndef CTL_CTL_H
#define CTL_CTL_H

#include "pimentoford/records.h"
#include "pimentoford/text.h"

#include <jansson.h>

enum exit_code {
	EXIT_OK = 0,
	EXIT_REFUSED = 1, /* refused, in conflict, or no such record */
	EXIT_INVALID = 2, /* invalid usage or record files */
	EXIT_UNKNOWN = 3, /* no entry or table answered; perhaps applied */
};

struct ctl {
	char *gateway; /* IP:PORT of its metrics; NULL: entries are asked */
	char **entries; /* IP:PORT, tried in order; NULL-terminated */
	char *key; /* the deployment's key; NULL: none */
	char *change_id; /* owned */
	char *who; /* recorded in the audit */
	int64_t base_revision; /* the change is based on; -1: not given */
	int audit_limit; /* changes that audit prints */
	bool json;
	bool id_given; /* by --id: the change may be a resend */
	int timeout_s; /* per entry */
};

struct reply {
	int status; /* HTTP; 0: no reply */
	struct pf_text body;
};

/**
 * Sends one request to the entry at @addr and waits for the reply. @body is
 * JSON or NULL. The caller frees r->body.
 */
void ctl_request(const struct ctl *c, const char *addr, const char *method,
		 const char *target, const char *body, struct reply *r);

/**
 * Sends a GET to the entries in order until one replies with another status
 * than 503. 0, or -1 when none does. On 0 the caller frees r->body.
 */
int ctl_get(const struct ctl *c, const char *target, struct reply *r);

/* The commands, in commands.c and changes.c; each returns an exit code. */
int cmd_apply(struct ctl *c, char **args);
int cmd_delete(struct ctl *c, char **args);
int cmd_drain(struct ctl *c, char **args);
int cmd_get(struct ctl *c, char **args);
int cmd_list(struct ctl *c, char **args);
int cmd_diff(struct ctl *c, char **args);
int cmd_audit(struct ctl *c, char **args);
int cmd_status(struct ctl *c, char **args);

/* The commands for a gateway, in gateway.c. */
int cmd_accounts(struct ctl *c, char **args);

/** Reads record files into @set. 0, or -1 after printing the findings. */
int read_record_files(char **paths, struct pf_records *set);

/** Prints @j on one line and releases it. */
void print_json(json_t *j);

/** Prints the message of an error reply to stderr; returns EXIT_REFUSED. */
int print_error_reply(const struct reply *r);

#endif
