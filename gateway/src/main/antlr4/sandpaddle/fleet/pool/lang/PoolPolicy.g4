// The policy language of connection pools, version 1. The grammar is LL(1): one token of lookahead decides every
// alternative, so parsing takes time linear in the length of any input. A statement ends at the end of its line, except
// that a line that ends with a comma continues in the next. PolicyReader invokes the rule "line" until the end of the
// file, so that a syntax error discards one line only.
grammar PoolPolicy;

line : statement? NL ;

statement
    : policy
    | group
    | directive
    | WHEN condition (AND condition)* directive
    ;

directive : budget | reserve | borrow | share ;

policy : POLICY STRING VERSION INT (LANGUAGE INT)? ;

group : GROUP groupName '=' member (',' NL* member)* ;

member : STRING | GROUP groupName ;

// no rule allows a unit at a position where a group name is allowed, so units can be group names
groupName : NAME | H | MIN | MS | S ;

budget : BUDGET budgetOf INT CONNECTIONS EACH? ;

budgetOf : FLEET | ENGINE (KIND STRING | STRING) ;

reserve : RESERVE (CONTROL | RETURNING) INT (EACH | PERCENT) ;

borrow : BORROW (NOTHING | IDLE GIVE BACK WITHIN duration) ;

share : selector+ setting+ ;

selector
    : TENANT tenant
    | CLASS STRING
    | HALL STRING
    | GATEWAY STRING
    | DEFAULT (TENANT | CLASS | HALL | GATEWAY)
    ;

tenant : STRING | GROUP groupName TOGETHER? ;

setting : WEIGHT (INT | DECIMAL) | FLOOR INT | CEILING INT ;

condition
    : CALM
    | STORM
    | RECOVERY
    | TIME TIME_OF_DAY TO TIME_OF_DAY (ZONE STRING)?
    | CONDEMNED ENGINES OVER INT PERCENT
    | ISOLATED HALL STRING
    | OUTAGE OF HALL STRING (WITHIN duration | LASTS)
    ;

duration : INT (MS | S | MIN | H) ;

AND : 'and' ;
BACK : 'back' ;
BORROW : 'borrow' ;
BUDGET : 'budget' ;
CALM : 'calm' ;
CEILING : 'ceiling' ;
CLASS : 'class' ;
CONDEMNED : 'condemned' ;
CONNECTIONS : 'connections' ;
CONTROL : 'control' ;
DEFAULT : 'default' ;
EACH : 'each' ;
ENGINE : 'engine' ;
ENGINES : 'engines' ;
FLEET : 'fleet' ;
FLOOR : 'floor' ;
GATEWAY : 'gateway' ;
GIVE : 'give' ;
GROUP : 'group' ;
H : 'h' ;
HALL : 'hall' ;
IDLE : 'idle' ;
ISOLATED : 'isolated' ;
KIND : 'kind' ;
LANGUAGE : 'language' ;
LASTS : 'lasts' ;
MIN : 'min' ;
MS : 'ms' ;
NOTHING : 'nothing' ;
OF : 'of' ;
OUTAGE : 'outage' ;
OVER : 'over' ;
PERCENT : 'percent' ;
POLICY : 'policy' ;
RECOVERY : 'recovery' ;
RESERVE : 'reserve' ;
RETURNING : 'returning' ;
S : 's' ;
STORM : 'storm' ;
TENANT : 'tenant' ;
TIME : 'time' ;
TO : 'to' ;
TOGETHER : 'together' ;
VERSION : 'version' ;
WEIGHT : 'weight' ;
WHEN : 'when' ;
WITHIN : 'within' ;
ZONE : 'zone' ;

NAME : [a-z] [a-z0-9_-]* ;
TIME_OF_DAY : [0-9] [0-9] ':' [0-9] [0-9] ;
DECIMAL : [0-9]+ '.' [0-9]+ ;
INT : [0-9]+ ;
STRING : '"' ~["\r\n]* '"' ;
UNCLOSED : '"' ~["\r\n]* ;
NL : '\r'? '\n' | '\r' ;
COMMENT : '#' ~[\r\n]* -> skip ;
BLANK : [ \t]+ -> skip ;
OTHER : . ;
