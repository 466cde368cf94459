/*
 * ONC RPC between lovagehub's processes. Each argument and result is a sealed message: the XDR of
 * one of the structs below, with a MAC under the site key (see src/rpc_seal.h).
 */

const LOVAGE_NAME_MAX = 32;          /* bytes, without the NUL */
const LOVAGE_ADDRESS_MAX = 48;       /* bytes, without the NUL */
const LOVAGE_DOCUMENT_MAX = 1048576; /* bytes */
const LOVAGE_MEMBERS_MAX = 512;
const LOVAGE_BRAKES_MAX = 256;
const LOVAGE_RECORDS_MAX = 512;      /* usage records in one message */
const LOVAGE_RECORD_MAX = 8192;      /* bytes of one usage record */
const LOVAGE_PEERS_MAX = 4;
const LOVAGE_DEATHS_MAX = 16;
const LOVAGE_FLIGHTS_MAX = 32;       /* fingerprints per death */
const LOVAGE_GATES_MAX = 4;
const LOVAGE_SEALED_MAX = 2097152;   /* bytes */
const LOVAGE_MAC_SIZE = 32;          /* bytes */

struct rpc_sealed {
  unsigned hyper sender;     /* incarnation of the sending process */
  unsigned hyper sequence;   /* increases with each message of the sender */
  opaque body<LOVAGE_SEALED_MAX>;
  opaque mac[LOVAGE_MAC_SIZE];
};

/* Progress of a member other than the sender, as the sender knows it from that member's heartbeats
   or from those of others. See src/cluster_state.h. */
struct rpc_news {
  unsigned hyper incarnation; /* of that member */
  hyper number;              /* newest configuration number that the member is known to apply */
  hyper view;                /* newest view number that the member is known to have seen */
  unsigned int age_ms;       /* how long ago the member certainly had nothing newer, by the sender's
                                clock; UINT32_MAX: not known */
};

/* A version that gets no new work; see src/cluster_brake.h. */
struct rpc_brake {
  string model_name<LOVAGE_NAME_MAX>;
  string version_name<LOVAGE_NAME_MAX>;
  hyper since;               /* configuration number in force where the brake was raised */
  string by<LOVAGE_NAME_MAX>; /* VM of the gate, or the operator */
  string why<128>;
};

/* The death of a backend server as observed by one VM. */
struct rpc_death {
  unsigned hyper server;     /* hash of the server's name */
  unsigned int age_ms;       /* time since it died */
  unsigned hyper flights<LOVAGE_FLIGHTS_MAX>; /* fingerprints of the requests in progress there */
};

/* A heartbeat message: an ask (request), or the answer to one. See src/cluster_state.h. */
struct rpc_heartbeat {
  unsigned hyper nonce;      /* of the ask; the answer repeats it */
  unsigned hyper incarnation; /* of the sender */
  hyper view;                /* newest view number that the sender has seen */
  hyper number;              /* newest configuration number that the sender applies */
  hyper accepted;            /* newest accepted configuration number that the sender has seen */
  hyper ages_view;           /* number of the view whose members ages is indexed by; 0: no ages */
  opaque ages<LOVAGE_MEMBERS_MAX>; /* age_ms of members with the sender's number and view, a byte
                                each, in units of 32 ms rounded up; 255: none */
  rpc_news news<LOVAGE_MEMBERS_MAX>; /* of members that ages doesn't cover; answers only */
  string address<LOVAGE_ADDRESS_MAX>; /* of the sender; "" if the receiver's view should have it */
  int port;                  /* belongs to address */
  unsigned hyper gates<LOVAGE_GATES_MAX>; /* incarnations of the live gates of the sender's VM;
                                answers only */
  unsigned hyper brakes_digest; /* digest of the sender's whole set of brakes */
  rpc_brake brakes<LOVAGE_BRAKES_MAX>; /* part of that set: in an answer, if the digests differ; in
                                an ask, if a brake was just raised */
  rpc_death deaths<LOVAGE_DEATHS_MAX>;
};

/* What a gate has counted for one version and one team since its last report. */
struct rpc_evidence {
  string team<LOVAGE_NAME_MAX>;
  string model_name<LOVAGE_NAME_MAX>;
  string version_name<LOVAGE_NAME_MAX>;
  unsigned int answers;       /* complete answers */
  unsigned int errors;
  unsigned int slow;          /* answers whose first token took longer than EVIDENCE_SLOW_MS */
  unsigned int rated;         /* number of ratings */
  double rating_sum;
  double rating_square_sum;
  unsigned int callers;       /* distinct callers */
};

/* A gate's request for a grant, with its reports. */
struct rpc_grant_ask {
  unsigned hyper incarnation; /* of the gate */
  hyper number;               /* configuration number that the gate has in force */
  unsigned int in_flight;     /* requests in progress at the gate */
  bool stopping;              /* in a graceful stop: gets no grant */
  rpc_evidence evidence<LOVAGE_BRAKES_MAX>;
  rpc_brake raised<LOVAGE_BRAKES_MAX>; /* brakes that the steward is to raise */
  rpc_death deaths<LOVAGE_DEATHS_MAX>;
};

/* A steward that stores copies of usage records. */
struct rpc_peer {
  string address<LOVAGE_ADDRESS_MAX>;
  int port;
  string failure_domain<LOVAGE_NAME_MAX>;
};

struct rpc_grant {
  unsigned int grant_ms;      /* new work may be taken this long after the ask was sent; 0: none */
  hyper number;               /* configuration that the gate must have in force, or a newer one */
  unsigned int members;       /* VMs in the view, which share each limit */
  int rank;                   /* of this VM among them, from 0; -1: not a member */
  rpc_peer peers<LOVAGE_PEERS_MAX>; /* live stewards of other failure domains */
  rpc_brake brakes<LOVAGE_BRAKES_MAX>;
  rpc_death deaths<LOVAGE_DEATHS_MAX>;
};

/* A request for the steward's newest configuration or view. */
struct rpc_number {
  hyper number;               /* lowest number that is of use; 0: any */
};

/* A configuration or a view, the answer to an rpc_number. */
struct rpc_document {
  hyper number;               /* 0: the steward has none that is new enough */
  string text<LOVAGE_DOCUMENT_MAX>;
};

/* Usage records that can't be made durable at the platform now, copied to another VM. */
typedef opaque rpc_record<LOVAGE_RECORD_MAX>;

struct rpc_bill_copy {
  unsigned hyper gate;        /* incarnation of the gate that wrote the records */
  rpc_record records<LOVAGE_RECORDS_MAX>;
};

struct rpc_bill_copy_result {
  bool taken;                 /* false: none was stored: no room, or a record is not valid */
};

program LOVAGE_STEWARD {
  version LOVAGE_STEWARD_V1 {
    void LOVAGE_HEARTBEAT_ASK (rpc_sealed) = 1;        /* UDP, one way */
    void LOVAGE_HEARTBEAT_ANSWER (rpc_sealed) = 2;     /* UDP, one way */
    rpc_sealed LOVAGE_GRANT (rpc_sealed) = 3;          /* TCP, from the VM's gate */
    rpc_sealed LOVAGE_CONFIG_GET (rpc_sealed) = 4;     /* TCP, from the gate or another steward */
    rpc_sealed LOVAGE_BILL_COPY (rpc_sealed) = 5;      /* TCP, from a gate of another VM */
    rpc_sealed LOVAGE_VIEW_GET (rpc_sealed) = 6;       /* TCP, from another steward */
  } = 1;
} = 0x2f4c4f56;
